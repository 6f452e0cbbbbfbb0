// Package exchange sends HTTP/1.1 requests over kept connections and returns
// the answers exactly as they come: whole, cut off, without a length, or
// preceded by an answer to an earlier request. It never sends a request twice
// and tells whether any of it may have reached the peer.
package exchange
