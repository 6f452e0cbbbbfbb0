// Package route describes how the requests of one host and path prefix are
// served: by which services, within which time, and whether a request may run
// more than once. The route table and the forwarding of requests use it.
package route
