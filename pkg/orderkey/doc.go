// Package orderkey parses the idempotency keys of non-repeatable requests, mints
// keys, and chooses the slot that holds the records of a key.
//
// There are two kinds of keys. A minted key is bound to one sidecar incarnation,
// which alone accepts it: "fhk1.<instance>.<incarnation>.<UUID>". Every other
// key is opaque; an opaque key that is a version 7 UUID carries its creation
// time.
//
// Gateways use the package to route a request, and sidecars to decide whether
// to run it.
package orderkey
