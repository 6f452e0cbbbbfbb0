// Package headers reads and writes the header fields that routers and upstreams
// exchange, whose names are configurable. It also selects the fields of a message
// that a proxy forwards: neither hop-by-hop fields nor, in a caller's request,
// fields that only the router may set.
package headers
