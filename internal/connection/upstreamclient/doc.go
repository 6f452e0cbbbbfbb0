// Package upstreamclient is the HTTP/1.1 client of routers and reporters, with a
// pool of connections. It sends each request once, over a new or an idle
// connection, and never retries it; an error states whether any byte may have
// reached the peer. It distinguishes truncated answers from complete ones, and
// discards answers to other requests on the connection, also to an earlier one with the
// same identifier or none.
package upstreamclient
