// Package ledger records which attempts and idempotency keys one sidecar has
// seen, and decides whether an attempt may be handed to the upstream.
//
// An attempt passes from queued to running at most once, so an upstream is
// given it at most once. A revoked attempt never becomes running, even if its
// first copy arrives after the revocation. Attempts with one idempotency key
// share one executor: the first of them.
//
// Records are forgotten, and forgetting must not allow a second run, although
// a copy of an attempt can be delayed without limit. Therefore the ledger
// publishes a binding "<incarnation>-<tick>" that changes every tick, and runs
// a bound attempt only within Window after its binding was issued. Records of
// attempts are kept for longer than Window. A copy that arrives after its record
// was forgotten carries an older binding and is refused. Only this process's
// clock is involved, and its readings are never taken back.
//
// A key's record is kept for the key's lifetime and Window after its attempt
// was settled. This relies on callers not to repeat a key after its lifetime,
// and not to wait longer than that for one request.
//
// A repeatable attempt without a binding is remembered for the same time, but a
// later copy of it runs again.
package ledger
