// Package settings holds what one process must know before it can read the
// operators' configuration: its addresses, its data centre and its secrets.
package settings
