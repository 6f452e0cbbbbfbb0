// Package forwarding serves the callers of routed requests: it finds the route
// and the client account, sends the request to an upstream, and returns the
// upstream's answer without a change. A request that may not be repeated is
// sent at most once, and an answer that is not whole never looks so.
package forwarding
