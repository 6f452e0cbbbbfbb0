// Package orderkey parses the idempotency keys of non-repeatable requests, mints
// keys, and chooses the slot that holds the records of a key.
//
// There are three kinds of keys. A minted key is bound to one sidecar
// incarnation, which alone accepts it: "fhk1.<instance>.<incarnation>.<UUID>".
// A version 7 UUID carries its creation time. Every other key is opaque.
// Gateways use the package to route a request, and sidecars to decide whether
// to run it.
package orderkey
