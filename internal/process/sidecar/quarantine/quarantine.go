package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/pkg/orderkey"
)

// maxPast is the largest number of earlier slot sets that are kept. After more
// changes within a key's lifetime, all keys are under quarantine.
const maxPast = 16

// Quarantine holds what one sidecar knows about the earlier home slots of
// keys. It is safe for concurrent use.
type Quarantine struct {
	slot string

	mu sync.Mutex
	// started is when this incarnation started, or when it last observed an earlier
	// holder of its slot in the instance list.
	started time.Time
	// tookOver is true if the predecessor's ledger was taken over.
	tookOver bool
	// inheritedEnd is the end of the predecessor's own quarantine, zero for none.
	inheritedEnd time.Time
	// slots is the slot set in force.
	slots []string
	// past holds the earlier slot sets, the oldest first.
	past []slotSet
}

type slotSet struct {
	slots []string
	// endedAt is when this sidecar replaced the set by another.
	endedAt time.Time
}

// Rules are the service's settings for idempotency keys.
type Rules struct {
	// Lifetime is how long callers may retry an order with its key.
	Lifetime time.Duration
	// SkewBound is the largest error of callers' clocks that operators allow for;
	// 0 if callers' clocks are not trusted.
	SkewBound time.Duration
}

// Snapshot is the state of a quarantine in a hand-over. Times are sent as
// durations, so that the clocks of the processes need not agree.
type Snapshot struct {
	Slots []string  `json:"slots"`
	Past  []PastSet `json:"past,omitempty"`
	// RemainingMillis is the time until the predecessor's quarantine after its
	// start ends, 0 if it has ended.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// PastSet is an earlier set of slots.
type PastSet struct {
	Slots []string `json:"slots"`
	// AgeMillis is the time since the set was replaced.
	AgeMillis int64 `json:"age_ms"`
}

// New returns the quarantine of an incarnation that holds the slot and starts at
// the given time.
func New(slot string, now time.Time) *Quarantine {
	return &Quarantine{slot: slot, started: now}
}

// SetSlots records the slots of the configuration in force.
func (q *Quarantine) SetSlots(slots []string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.slots != nil && !slices.Equal(q.slots, slots) {
		q.retire(q.slots, now)
	}
	q.slots = slices.Clone(slots)
}

// retire adds a set to the earlier ones. If there are too many, the oldest two
// are merged into a set without slots. It contains the home slot of no key, so
// that all keys count as moved.
func (q *Quarantine) retire(slots []string, endedAt time.Time) {
	q.past = append(q.past, slotSet{slots, endedAt})
	if len(q.past) > maxPast {
		merged := slotSet{endedAt: q.past[1].endedAt}
		q.past = append([]slotSet{merged}, q.past[2:]...)
	}
}

// RecordEarlierHolder records that an earlier holder of the slot is still in the
// instance list, so that it may have run keys up to this time.
func (q *Quarantine) RecordEarlierHolder(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.started = now
}

// Check reports whether this sidecar holds the key's home slot. If so, notBefore
// is the earliest issue time of a binding with which the key may run; the zero
// time allows any binding.
func (q *Quarantine) Check(key orderkey.Key, r Rules) (home bool, notBefore time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if key.Home(q.slots) != q.slot {
		return false, time.Time{}
	}
	notBefore = q.startQuarantineEnd(key, r)
	for _, p := range q.past {
		if key.Home(p.slots) != q.slot {
			notBefore = latest(notBefore, p.endedAt.Add(r.Lifetime))
		}
	}
	return true, notBefore
}

// startQuarantineEnd returns the end of the quarantine after the start. If
// operators bound the error of clocks, only the creation time of a key that has
// one counts, even after a take-over: an incarnation between the predecessor and
// this one, whose ledger was lost, may have run keys because of their creation
// times.
func (q *Quarantine) startQuarantineEnd(key orderkey.Key, r Rules) time.Time {
	end := q.started.Add(r.Lifetime)
	if created, ok := key.Created(); ok && r.SkewBound > 0 {
		if created.After(q.started.Add(r.SkewBound)) {
			return time.Time{}
		}
		return end
	}
	if q.tookOver {
		return q.inheritedEnd
	}
	return end
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// EndsAt returns when the quarantine after the start ends for keys without a
// creation time; the zero time if there is no quarantine.
func (q *Quarantine) EndsAt(r Rules) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.startQuarantineEnd(orderkey.Key{}, r)
}

// Snapshot returns the state to hand over to the successor.
func (q *Quarantine) Snapshot(r Rules, now time.Time) Snapshot {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Snapshot{Slots: slices.Clone(q.slots)}
	if remaining := q.startQuarantineEnd(orderkey.Key{}, r).Sub(now); remaining > 0 {
		s.RemainingMillis = remaining.Milliseconds() + 1
	}
	for _, p := range q.past {
		s.Past = append(s.Past, PastSet{p.slots, now.Sub(p.endedAt).Milliseconds()})
	}
	return s
}

// TakeOver replaces the quarantine after the start by what remains of the
// predecessor's own. The predecessor's ledger must be closed and must have been
// imported.
func (q *Quarantine) TakeOver(s Snapshot, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tookOver = true
	if s.RemainingMillis > 0 {
		q.inheritedEnd = now.Add(time.Duration(s.RemainingMillis) * time.Millisecond)
	}
	own := q.past
	q.past = nil
	for _, p := range s.Past {
		q.retire(p.Slots, now.Add(-time.Duration(p.AgeMillis)*time.Millisecond))
	}
	q.retire(s.Slots, now)
	for _, p := range own {
		q.retire(p.slots, p.endedAt)
	}
}
