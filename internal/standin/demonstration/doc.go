// Package demonstration shows a deployment at work: a streamed answer, an order
// that runs once although it is sent twice, and the trace of a request.
package demonstration
