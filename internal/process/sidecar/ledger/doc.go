// Package ledger records the attempts and idempotency keys that one sidecar has
// received, and decides whether an attempt may be sent to the upstream. The
// sidecar calls it for every offered attempt.
//
// An order is a non-repeatable request, and an attempt is one try to run a
// request. An attempt changes from queued to running at most once, so it is sent
// to an upstream at most once. A revoked attempt never becomes running, even if
// its first copy arrives after the revocation. Attempts with the same
// idempotency key share one executor, the first of them, and get its result.
//
// Records are deleted after some time. This must not allow a second run,
// although a copy of an attempt can be delayed without limit. Therefore the
// ledger publishes a binding "<incarnation>-<tick>" that changes every tick,
// and runs a bound attempt only within Window after its binding was issued.
// Records of attempts are kept for at least Window. A copy that arrives
// after its record was deleted carries an older binding and is refused. Only
// this process's clock is used, and the ledger ignores readings earlier than
// the latest one.
//
// The record of a key is kept for the key's lifetime plus Window after its
// attempt was settled. This relies on callers not to retry an order after the
// lifetime of its key, and not to wait longer than the lifetime for one request.
//
// The record of a repeatable attempt without a binding is kept for as long as
// that of a bound attempt, but a copy that arrives later runs again.
package ledger
