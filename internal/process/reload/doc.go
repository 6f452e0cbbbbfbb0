// Package reload keeps a process in step with its settings while it runs: at a
// SIGHUP, and when the settings change without one.
package reload
