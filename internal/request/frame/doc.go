// Package frame defines the messages of the stream from a sidecar to a gateway:
// one JSON object a line (application/x-ndjson).
package frame
