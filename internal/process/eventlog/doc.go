// Package eventlog writes numbered log events. The catalogue of all events is
// in this package and, for operators, in docs/events.md.
package eventlog
