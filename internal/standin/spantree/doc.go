// Package spantree reads the OpenTelemetry span files that the processes of a
// deployment write, and prints the spans of one trace as a tree. The demonstration
// uses it to show the path of a request.
package spantree
