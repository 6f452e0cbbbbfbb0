// Package quarantine decides whether a sidecar may run an order with an opaque
// idempotency key, that is, whether an earlier attempt with the key can have
// run where this sidecar would not know of it.
//
// A key may have been run by an earlier incarnation of the slot, or by the slot
// that was the key's home under an earlier configuration. Callers do not repeat
// a key after its lifetime. So an attempt is safe if its binding was issued one
// lifetime after the other process can last have run a key: the caller sent the
// attempt later than the binding was issued.
//
// Two cases remain in which a key can run twice. While the network is
// partitioned for longer than a key's lifetime, an old home that has not learned
// of a change of the slots, or an old holder of the slot that runs on, can run a
// key that the new one runs too, if the caller's repetition crosses the
// partition. Minted keys have no such case, because they name one incarnation.
package quarantine
