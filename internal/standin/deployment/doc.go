// Package deployment starts, shows and stops local deployments of the system
// and its stand-ins, each process for itself, on loopback.
package deployment
