package statedlimit

import (
	"math"
	"sync"
	"time"
)

// toleratedDeviation is the difference between two limits, as a share of the one in
// force, up to which they count as the same. A limit that varies a little with each
// answer is not sent to all routers each time.
const toleratedDeviation = 0.05

// Upstream identifies one incarnation of an upstream.
type Upstream struct {
	ID string `json:"id"`
	// Incarnation is 0 if it is unknown.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// Statement is what one answer of an upstream says of its limit.
type Statement struct {
	Upstream Upstream
	// Limited is true if the answer states a limit, which is then PerSecond.
	Limited   bool
	PerSecond float64
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Limit is the limit of an upstream.
type Limit struct {
	Upstream
	// Limited is true if the upstream states a limit, which is then PerSecond.
	Limited   bool    `json:"limited,omitempty"`
	PerSecond float64 `json:"per_second,omitempty"`
	// Version counts the changes of this upstream's limit that routers have seen, 0
	// if no router has seen any.
	Version uint64 `json:"version"`
}

// Limits holds the limits that upstreams state. It is safe for concurrent use.
type Limits struct {
	// known reports whether the upstream is in the list of upstreams. Limits of
	// others are dropped.
	known    func(Upstream) bool
	onChange func(Limit)

	mu      sync.Mutex
	records map[Upstream]record
	// changedAt is the time of the last change.
	changedAt time.Time
}

// record is the limit of one upstream.
type record struct {
	Limit
	// statedAt is when an answer to this router last stated the limit.
	statedAt time.Time
}

// New returns an empty set. The function known reports whether the upstream is in
// the list of upstreams, and onChange is called for each limit that changes; both
// are called with the lock held.
func New(known func(Upstream) bool, onChange func(Limit)) *Limits {
	return &Limits{known: known, onChange: onChange, records: make(map[Upstream]record)}
}

// Observe records the statement of an answer that has just arrived. An answer
// without a limit lifts the limit, unless its request was sent before the limit
// was last stated.
func (l *Limits) Observe(s Statement, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := l.records[s.Upstream]
	switch {
	case !found && !s.Limited:
		return
	case s.Limited:
		r.statedAt = now
	case s.SentAt.Before(r.statedAt):
		return
	}
	changed := !r.isStatedBy(s)
	if changed {
		r.Limit = Limit{Upstream: s.Upstream, Limited: s.Limited, PerSecond: s.PerSecond, Version: r.Version + 1}
	}
	l.records[s.Upstream] = r
	if changed {
		l.noteChange(r.Limit, now)
	}
}

// isStatedBy reports whether the statement is about this limit.
func (l Limit) isStatedBy(s Statement) bool {
	return l.Limited == s.Limited && math.Abs(l.PerSecond-s.PerSecond) <= toleratedDeviation*l.PerSecond
}

func (l *Limits) noteChange(limit Limit, now time.Time) {
	l.changedAt = now
	l.onChange(limit)
}

// Limit returns the limit of the upstream.
func (l *Limits) Limit(u Upstream) Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.records[u].Limit
	limit.Upstream = u
	return limit
}
