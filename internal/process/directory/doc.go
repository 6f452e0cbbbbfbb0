// Package directory holds what a process knows about the upstreams: what the
// instance list says, what each says of itself, and what calls have shown.
package directory
