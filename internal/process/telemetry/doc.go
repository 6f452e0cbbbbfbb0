// Package telemetry sets up the spans and metrics of a process.
package telemetry
