package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/pkg/orderkey"
)

// maxPast bounds the slot sets that are remembered. With more changes within a
// lifetime, all keys are under quarantine.
const maxPast = 16

// Quarantine holds what one sidecar knows about the earlier homes of keys. It
// is safe for concurrent use.
type Quarantine struct {
	slot string

	mu sync.Mutex
	// started is when this incarnation started or last saw an older holder of
	// its slot.
	started time.Time
	// took is true if the predecessor's ledger was taken over.
	took bool
	// barredUntil is the end of a quarantine that was taken over.
	barredUntil time.Time
	slots       []string
	// past holds the earlier slot sets, the oldest first.
	past []slotSet
}

type slotSet struct {
	slots []string
	// endedAt is when the set ceased to be in force at this sidecar.
	endedAt time.Time
}

// Rules are the service's settings that concern keys.
type Rules struct {
	// Lifetime is how long callers repeat a key.
	Lifetime time.Duration
	// SkewBound is the operators' bound on the error of callers' clocks, 0 for
	// none.
	SkewBound time.Duration
}

// Snapshot is what a hand-over carries. Times are durations, so that the clocks
// of the processes need not agree.
type Snapshot struct {
	Slots []string  `json:"slots"`
	Past  []PastSet `json:"past,omitempty"`
	// RemainingMillis is the rest of the quarantine after a start, 0 for none.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// PastSet is an earlier set of slots.
type PastSet struct {
	Slots     []string `json:"slots"`
	AgeMillis int64    `json:"age_ms"`
}

// New returns the quarantine of an incarnation that holds the slot and starts
// now.
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

// retire adds a set to the past. When there are too many, the oldest two are
// replaced by one without slots, which is no key's home and bars all.
func (q *Quarantine) retire(slots []string, endedAt time.Time) {
	q.past = append(q.past, slotSet{slots, endedAt})
	if len(q.past) > maxPast {
		merged := slotSet{endedAt: q.past[1].endedAt}
		q.past = append([]slotSet{merged}, q.past[2:]...)
	}
}

// Overlap records that an older holder of the slot is still listed, which may
// run keys until now.
func (q *Quarantine) Overlap(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.started = now
}

// Judge states whether this sidecar is the key's home and, if it is, the
// earliest issue of a binding with which the key may run. The zero time is no
// bar.
func (q *Quarantine) Judge(key orderkey.Key, r Rules) (home bool, notBefore time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if key.Home(q.slots) != q.slot {
		return false, time.Time{}
	}
	notBefore = q.afterStart(key, r)
	for _, p := range q.past {
		if key.Home(p.slots) != q.slot {
			notBefore = later(notBefore, p.endedAt.Add(r.Lifetime))
		}
	}
	return true, notBefore
}

// afterStart returns the end of the quarantine after the start. Where operators
// bound the error of clocks, a key's creation time alone decides, even after a
// take-over: an incarnation in between, whose ledger was lost, may have run keys
// because of their creation times.
func (q *Quarantine) afterStart(key orderkey.Key, r Rules) time.Time {
	end := q.started.Add(r.Lifetime)
	if created, ok := key.Created(); ok && r.SkewBound > 0 {
		if created.After(q.started.Add(r.SkewBound)) {
			return time.Time{}
		}
		return end
	}
	if q.took {
		return q.barredUntil
	}
	return end
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Ends returns when the quarantine after the start ends for keys without a
// creation time; the zero time if there is none.
func (q *Quarantine) Ends(r Rules) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.afterStart(orderkey.Key{}, r)
}

// Snapshot returns what the successor must know.
func (q *Quarantine) Snapshot(r Rules, now time.Time) Snapshot {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Snapshot{Slots: slices.Clone(q.slots)}
	if rest := q.afterStart(orderkey.Key{}, r).Sub(now); rest > 0 {
		s.RemainingMillis = rest.Milliseconds() + 1
	}
	for _, p := range q.past {
		s.Past = append(s.Past, PastSet{p.slots, now.Sub(p.endedAt).Milliseconds()})
	}
	return s
}

// TakeOver ends the quarantine after the start, as far as the predecessor was
// not under quarantine itself. The predecessor's ledger must have been imported
// and must be closed.
func (q *Quarantine) TakeOver(s Snapshot, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.took = true
	if s.RemainingMillis > 0 {
		q.barredUntil = now.Add(time.Duration(s.RemainingMillis) * time.Millisecond)
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
