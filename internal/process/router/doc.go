// Package router implements the router role: the process that callers connect
// to on instances where upstreams are reached directly. It wires up the parts of
// that process. It follows the metadata store and its peers, keeps the directory
// of upstreams, forwards requests, moves generations away from upstreams that
// are leaving, and shuts down within the shutdown notice.
package router
