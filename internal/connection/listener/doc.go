// Package listener serves HTTP/1.1 on the nbhttp library in its non-blocking
// mode and contains the workarounds that the library needs. The gateway,
// sidecar, router and reporter processes accept connections with it.
//
// The library's read deadline for idle connections can truncate a response, so
// the connection sets its deadlines itself. The library does not report that a
// caller has disconnected, so the listener polls each busy connection on a timer
// and cancels the request's context. The library buffers writes without bound,
// so package stream writes the responses. The library closes a connection with
// "Connection: close" before the queued part of the response has been sent, so
// the listener delays the close until the queue is empty. The library ignores
// the Content-Length of a request that also has a Transfer-Encoding, and uses
// the first of several Content-Length fields, so the listener refuses these
// requests. The library's poller applies an event of a closed connection to a new
// one with the same file descriptor, so each new connection waits until the poller
// has handled the events that it has read. The library's parser buffers unfinished
// lines up to the limit of a body and reads any number of requests ahead of their
// responses, so the listener counts and refuses them first (package bytemeter).
package listener
