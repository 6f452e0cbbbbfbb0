// Package frame defines the messages that a sidecar streams to a gateway while it
// runs an attempt: accepted, token, heartbeat, response, end and failed. Each
// frame is one JSON object on a line of its own (application/x-ndjson).
package frame
