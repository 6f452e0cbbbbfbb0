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
	// Accepted states that the attempt is queued and that the caller of Offer must
	// run it.
	Accepted Verdict = iota + 1
	// Joined states that a copy of the attempt, or another attempt with the same
	// key, is queued, running or settled; its result applies to this attempt too.
	Joined
	// Revoked states that the attempt was revoked.
	Revoked
	// Conflicting states that the attempt or its key is recorded for another
	// request or another client account.
	Conflicting
	// OutcomeUnknown states that this ledger cannot know whether the attempt or its
	// key was run: it may have run elsewhere, or its record may have been deleted.
	OutcomeUnknown
	// Full states that the attempt was not run, because there is no room for
	// another record.
	Full
	// Closed states that the attempt was not run, because the ledger was closed
	// for the hand-over to a successor.
	Closed
)

// Offer describes an attempt to the ledger.
type Offer struct {
	// ID is the attempt's identifier.
	ID string
	// Account is the client account that owns the attempt.
	Account string
	// Key is the idempotency key, unique within the account; empty for none.
	Key string
	// Fingerprint is equal only for equal requests.
	Fingerprint string
	// Binding is the binding that the attempt carries, empty for none.
	Binding string
	// KeyBinding is the binding that a minted key carries, empty for other keys.
	KeyBinding string
	// JoinOnly is true if an attempt with the key may have run elsewhere. This
	// attempt may then join a recorded one but must not run.
	JoinOnly bool
	// NotBefore is the earliest issue time of a binding with which the attempt may
	// run; the zero time for any.
	NotBefore time.Time
	// Deduplicated is true if the upstream itself deduplicates by the key, so that
	// a lost attempt may be run again.
	Deduplicated bool
}

// Revocation describes an attempt that is to be revoked.
type Revocation struct {
	// ID is the attempt's identifier.
	ID string
	// Binding is the binding that the attempt carries, empty for none.
	Binding string
	// Account and Key are the same as in the attempt's Offer.
	Account, Key string
}

// Result is the upstream's answer to an attempt. It must not be changed.
type Result struct {
	// GenerationID identifies the generation whose tokens are the result. It is
	// empty for a call, whose answer is in the other fields.
	GenerationID string      `json:"generation_id,omitempty"`
	Status       int         `json:"status,omitempty"`
	Header       http.Header `json:"headers,omitempty"`
	Body         []byte      `json:"body,omitempty"`
	// Dropped is true if the answer was not stored.
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
	// Account is the client account that owns the attempt. It can be empty for an
	// attempt that was revoked before its first copy arrived.
	Account string
	// Result is set in state done.
	Result *Result
	// Settled is closed when the state is no longer queued or running; nil for an
	// unknown attempt.
	Settled <-chan struct{}
}

// record is the state of one attempt, guarded by the lock of its shard.
type record struct {
	account     string
	fingerprint string
	// key is the scoped key for which this attempt is the executor, empty for
	// none.
	key string
	// executor is the ID of the attempt that this one joined, empty for none.
	executor string
	// offeredAt is when the record was created. It is never earlier than the issue
	// of a binding that a copy carries.
	offeredAt time.Time
	state     string
	// unseen is true if the attempt was revoked before its first copy arrived.
	unseen bool
	// settledAt is when state became final.
	settledAt time.Time
	result    *Result
	// settled is closed when state becomes final.
	settled chan struct{}
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
