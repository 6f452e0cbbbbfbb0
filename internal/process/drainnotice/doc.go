// Package drainnotice remembers which upstreams have said in an answer that they
// leave. A notice binds until a later incarnation of the upstream, whatever the list of
// upstreams, a reporter or another router says. Routers share recent notices. Package
// directory applies them.
package drainnotice
