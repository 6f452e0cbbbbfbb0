package statedlimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownStatementPeriod is the time for which a limit that this router has read in
	// an answer outranks another router's knowledge that there is none.
	ownStatementPeriod = 2 * time.Second
	// maxRecords bounds the limits that are kept.
	maxRecords = 4096
)

// Shared returns the limits for other routers, including those that were lifted,
// and a digest of them.
func (l *Limits) Shared() ([]Limit, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shared := make([]Limit, 0, len(l.records))
	digest := uint64(0)
	for u, r := range l.records {
		if !l.known(u) {
			delete(l.records, u)
			continue
		}
		shared = append(shared, r.Limit)
		digest ^= r.digest()
	}
	return shared, digest
}

func (l Limit) digest() uint64 {
	content := []byte(l.ID)
	content = binary.BigEndian.AppendUint64(content, uint64(l.Incarnation))
	content = binary.BigEndian.AppendUint64(content, l.Version)
	content = binary.BigEndian.AppendUint64(content, math.Float64bits(l.PerSecond))
	if l.Limited {
		content = append(content, 1)
	}
	return xxhash.Sum64(content)
}

// Merge adds the limits of another router.
func (l *Limits) Merge(shared []Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range shared {
		if s.Version == 0 || !(s.PerSecond >= 0) || !l.known(s.Upstream) {
			continue
		}
		l.mergeOne(s, now)
	}
}

func (l *Limits) mergeOne(s Limit, now time.Time) {
	r, found := l.records[s.Upstream]
	if found && !s.outranks(r.Limit) || !found && len(l.records) >= maxRecords {
		return
	}
	if !s.Limited && r.Limited && now.Sub(r.statedAt) < ownStatementPeriod {
		s = r.Limit
		s.Version++
	}
	r.Limit = s
	l.records[s.Upstream] = r
	l.noteChange(s, now)
}

// outranks reports whether the limit is later than the other one. Of two changes
// that routers have seen at the same time, the lower limit outranks.
func (l Limit) outranks(other Limit) bool {
	switch {
	case l.Version != other.Version:
		return l.Version > other.Version
	case l.Limited != other.Limited:
		return l.Limited
	default:
		return l.PerSecond < other.PerSecond
	}
}

// ChangedWithin reports whether a limit changed within the period.
func (l *Limits) ChangedWithin(period time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.changedAt.IsZero() && now.Sub(l.changedAt) < period
}
