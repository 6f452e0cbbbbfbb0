// Package quarantine decides whether a sidecar may run an order with an opaque
// idempotency key, that is, whether an earlier attempt with the key can have
// run where this sidecar has no record of it. The sidecar checks each such order
// before it offers the attempt to the ledger.
//
// A key may have been run by an earlier incarnation of the slot, or by the slot
// that was the key's home slot under an earlier configuration. Callers do not
// retry an order after the lifetime of its key. So an attempt is safe if its
// binding was issued at least one lifetime after the last time at which the
// other process can have run a key, because the caller sent the attempt after
// the binding was issued.
//
// A key can run twice in two cases, both of which need a network partition that
// lasts longer than the key's lifetime and a caller whose retry crosses the
// partition. In the first, the earlier home slot of the key has not observed a
// change of the slots and still runs the key, as does the new one. In the second,
// an earlier holder of the slot is still running next to the new one. Minted keys
// are not affected, because each is bound to one incarnation.
package quarantine
