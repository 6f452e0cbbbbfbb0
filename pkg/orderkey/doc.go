// Package orderkey classifies the idempotency keys of non-repeatable requests
// and mints keys that are bound to one sidecar incarnation.
package orderkey
