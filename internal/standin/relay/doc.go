// Package relay is a TCP relay with faults, placed between two processes in
// tests to cut or silence their connections.
package relay
