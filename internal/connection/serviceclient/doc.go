// Package serviceclient is the sidecar's client of a plain service. It sends each
// request at most once, on a new connection, and its errors distinguish a request
// that cannot have reached the service from one that may have run.
package serviceclient
