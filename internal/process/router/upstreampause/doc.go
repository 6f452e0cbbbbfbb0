// Package upstreampause holds for how long upstreams want no requests from this
// router, which they say in a refusal (Retry-After). Each router is told its own
// pauses, so they are not shared. A pause ends with the incarnation of the upstream.
package upstreampause
