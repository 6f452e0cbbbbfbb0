// Package exchange is the router's HTTP/1.1 client for upstreams. It sends each
// request once over a new or idle connection and never repeats it; an error states
// whether any byte may have reached the peer. An answer that is cut off is told
// from a complete one, and answers to other requests on the connection are
// discarded.
package exchange
