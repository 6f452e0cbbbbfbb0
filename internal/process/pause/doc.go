// Package pause waits for a time that a context can cut short.
package pause
