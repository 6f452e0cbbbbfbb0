// Package eventid defines the identifier of one server-sent event of a streamed
// answer. Gateways write it as the id field of the event; a caller that sends
// it back in the Last-Event-ID header resumes the answer through any gateway.
package eventid
