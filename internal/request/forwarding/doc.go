// Package forwarding is the router's HTTP handler for callers. It finds the
// route and authenticates the client account, sends the request to an upstream
// and returns the upstream's answer unchanged. A request that is not repeatable
// runs at most once, and a truncated answer never looks complete to the caller.
// Where requests compete for engines, it applies the policy of package dispatch.
// Explain returns what it would do with a request, without sending one.
package forwarding
