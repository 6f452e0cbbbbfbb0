// Package configwatch keeps the newest configuration in force in one process. It
// reads the configuration service and the process's peers.
package configwatch
