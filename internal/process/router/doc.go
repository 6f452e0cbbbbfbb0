// Package router is the process that callers connect to where upstreams are
// reached directly: it follows the store, finds its peers, forwards requests and
// moves generations away from upstreams that leave.
package router
