// Package machine holds the settings that a process of the routing roles gets
// from the machine it runs on.
package machine
