// Package telemetry sets up tracing and metrics for a process: OpenTelemetry
// spans, which go to a file or an OTLP endpoint if the settings name one, and
// metrics in the Prometheus text format. All processes use it.
package telemetry
