// Package listener serves HTTP on the nbhttp library in its non-blocking mode
// and keeps the workarounds that the library needs in one place.
//
// The library lets the read deadline of an idle connection cut off an answer, so
// the connection sets its deadlines itself. It hides that a caller has
// disconnected, so the listener asks each busy connection on a timer and cancels
// the request's context. It buffers writes without bound, so the answers are
// written by package stream. It closes a connection at "Connection: close"
// before the queued part of the answer has been sent, so the close is delayed
// until then. It ignores the length of a request that has both a length and a
// transfer encoding, and takes the first of several lengths, so these requests
// are refused.
package listener
