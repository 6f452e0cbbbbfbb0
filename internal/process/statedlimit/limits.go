package statedlimit

import (
	"sync"
	"time"
)

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

// Change is a changed limit of an upstream.
type Change struct {
	Upstream  Upstream
	Limited   bool
	PerSecond float64
	// Version counts the changes of this upstream's limit.
	Version uint64
}

// Limits holds the limits that upstreams state. It is safe for concurrent use.
type Limits struct {
	onChange func(Change)

	mu      sync.Mutex
	records map[Upstream]*record
}

// record is the limit of one upstream.
type record struct {
	limited   bool
	perSecond float64
	version   uint64
	// statedAt is when an answer to this router last stated the limit.
	statedAt time.Time
}

// New returns an empty set. The function onChange is called for each limit that
// changes, with the lock held.
func New(onChange func(Change)) *Limits {
	return &Limits{onChange: onChange, records: make(map[Upstream]*record)}
}

// Observe records the statement of an answer that has just arrived. An answer
// without a limit lifts the limit, unless its request was sent before the limit
// was last stated.
func (l *Limits) Observe(s Statement, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[s.Upstream]
	if r == nil {
		if !s.Limited {
			return
		}
		r = &record{}
		l.records[s.Upstream] = r
	}
	if !s.Limited && s.SentAt.Before(r.statedAt) {
		return
	}
	if s.Limited {
		r.statedAt = now
	}
	if s.Limited == r.limited && s.PerSecond == r.perSecond {
		return
	}
	l.change(s.Upstream, r, record{limited: s.Limited, perSecond: s.PerSecond, version: r.version + 1, statedAt: r.statedAt})
}

// change replaces the record and calls onChange.
func (l *Limits) change(u Upstream, r *record, next record) {
	*r = next
	l.onChange(Change{Upstream: u, Limited: r.limited, PerSecond: r.perSecond, Version: r.version})
}
