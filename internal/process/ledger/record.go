package ledger

import (
	"net/http"
	"time"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
)

// Verdict is the ledger's decision on an offered attempt.
type Verdict int

// Verdicts on an offered attempt.
const (
	// Accepted states that the attempt is queued and its offerer must run it.
	Accepted Verdict = iota + 1
	// Joined states that another copy or another attempt with the same key is
	// queued, running or done; its result is the result of this one.
	Joined
	// Revoked states that the attempt was revoked.
	Revoked
	// Conflicting states that the attempt or its key is recorded with another
	// request or another client account.
	Conflicting
	// Foreign states that this ledger cannot know what became of the attempt or
	// its key: they may have run elsewhere or have been forgotten.
	Foreign
	// Full states that the attempt was not run, because there is no room for
	// another record.
	Full
	// Closed states that the attempt was not run, because the ledger was handed
	// over.
	Closed
)

// Offer is what the ledger needs to know of an attempt.
type Offer struct {
	// ID is the attempt's identifier.
	ID string
	// Account is the client account that owns the attempt.
	Account string
	// Key is the scope of an idempotency key within the account, empty for none.
	Key string
	// Fingerprint is equal for copies of the same request only.
	Fingerprint string
	// Binding is the binding that the attempt carries, empty for none.
	Binding string
	// KeyBinding is the binding that a minted key carries, empty for others.
	KeyBinding string
	// Barred is true if an attempt with the key may have run elsewhere, so that
	// the attempt may join a recorded one but not run.
	Barred bool
	// NotBefore bars an attempt whose binding was issued earlier.
	NotBefore time.Time
	// Deduplicated is true if the upstream recognises the key itself, so that a
	// lost attempt may be run again.
	Deduplicated bool
}

// Revocation is what the ledger needs to know of an attempt to revoke it.
type Revocation struct {
	// ID is the attempt's identifier.
	ID string
	// Binding is the binding that the attempt carries, empty for none.
	Binding string
	// Account and Key are those of the attempt's offer.
	Account, Key string
}

// Result is the upstream's answer to an attempt. It must not be changed.
type Result struct {
	// GenerationID names the tokens of a generation; the other fields are the
	// answer to a call.
	GenerationID string      `json:"generation_id,omitempty"`
	Status       int         `json:"status,omitempty"`
	Header       http.Header `json:"headers,omitempty"`
	Body         []byte      `json:"body,omitempty"`
	// Dropped is true if there was no room for the answer.
	Dropped bool `json:"dropped,omitempty"`
}

func (r *Result) size() int64 {
	if r == nil {
		return 0
	}
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return int64(size)
}

// View is the state of an attempt.
type View struct {
	// State is one of the State constants of package attempt.
	State string
	// Account is the owner, empty for an attempt that was revoked unseen.
	Account string
	// Result is set in state done.
	Result *Result
	// Settled is closed when the attempt leaves the states queued and running;
	// nil for an unknown attempt.
	Settled <-chan struct{}
}

// record is the state of one attempt, guarded by the lock of its shard.
type record struct {
	account     string
	fingerprint string
	// key is the scoped key whose executor is this attempt, empty for none.
	key string
	// executor is the attempt that runs for this one, empty if it is this one.
	executor string
	// offeredAt is not before the binding of any copy was issued.
	offeredAt time.Time
	state     string
	// unseen is true if the attempt was revoked before its first copy came.
	unseen bool
	// settledAt is when state became final.
	settledAt time.Time
	result    *Result
	settled   chan struct{}
}

func newRecord(o Offer, now time.Time) *record {
	return &record{
		account:     o.Account,
		fingerprint: o.Fingerprint,
		offeredAt:   now,
		state:       attempt.StateQueued,
		settled:     make(chan struct{}),
	}
}

func (r *record) final() bool {
	return r.state != attempt.StateQueued && r.state != attempt.StateRunning
}

func (r *record) settle(state string, result *Result, now time.Time) {
	r.state = state
	r.result = result
	r.settledAt = now
	close(r.settled)
}

func (r *record) view() View {
	return View{State: r.state, Account: r.account, Result: r.result, Settled: r.settled}
}
