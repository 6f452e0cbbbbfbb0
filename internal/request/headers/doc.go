// Package headers names the header fields that routers and upstreams exchange
// and tells which fields of a request are forwarded.
package headers
