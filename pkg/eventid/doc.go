// Package eventid defines the identifier of one server-sent event of a streamed
// response. Gateways write it as the id field of the event; a caller that sends
// it back in the Last-Event-ID header resumes the response through any gateway.
package eventid
