package promptblock

import (
	"slices"
	"time"
)

// Evidence returns the crashes that other routers need to know, and a digest that
// is equal for routers that know the same.
func (l *List) Evidence(now time.Time) ([]SharedCrash, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shared := make([]SharedCrash, 0, len(l.records))
	digest := uint64(0)
	for _, r := range l.records {
		shared = append(shared, SharedCrash{
			Upstream: r.Upstream, Incarnation: r.Incarnation, Parts: r.Parts,
			Proven: slices.Clone(r.proven), Cleared: slices.Clone(r.cleared), AgeMillis: now.Sub(r.At).Milliseconds(),
		})
		digest ^= r.digest()
	}
	return shared, digest
}

// Merge adds the evidence of another router.
func (l *List) Merge(shared []SharedCrash, now time.Time) {
	if len(shared) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, func() {
		for _, s := range shared[:min(len(shared), maxRecords)] {
			l.mergeOne(s, now)
		}
	})
}

func (l *List) mergeOne(s SharedCrash, now time.Time) {
	r := l.add(Crash{
		Upstream: s.Upstream, Incarnation: s.Incarnation, Parts: slices.Clone(s.Parts),
		At: now.Add(-time.Duration(max(0, s.AgeMillis)) * time.Millisecond),
	})
	if r == nil {
		return
	}
	r.proven = union(r.proven, intersection(s.Proven, r.Parts))
	r.cleared = union(r.cleared, intersection(s.Cleared, r.Parts))
}

// HasRecentCrash reports whether a crash happened within the time before now.
func (l *List) HasRecentCrash(within time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) > 0 && now.Sub(l.records[len(l.records)-1].At) < within
}
