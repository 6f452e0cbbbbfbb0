// Package eventlog writes the log of a process: one JSON line for each event,
// with the event's number and name. All processes use it. The package declares
// every event that they can write; numbers and names are unique and never
// reused. docs/events.md, the reference for operators, is generated from these
// declarations.
package eventlog
