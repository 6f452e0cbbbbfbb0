package reportlimit

import (
	"sync"
	"time"
)

const (
	// Interval is the minimum time between two reports to one peer. A report on
	// each of the 349 streams of a gateway at the size of docs/CAPACITY.md would
	// cost 116 KB/s, while all control traffic is limited to 20 KB/s. 20 instances
	// that each report once per interval cost 6.6 KB/s.
	Interval = time.Second
	// peerRetention is how long a peer is kept after its last report.
	peerRetention = time.Minute
)

// Limiter records when each peer last received a report. It is safe for
// concurrent use.
type Limiter struct {
	mu         sync.Mutex
	lastReport map[string]time.Time
	lastSweep  time.Time
}

// New returns a limiter without peers.
func New() *Limiter { return &Limiter{lastReport: make(map[string]time.Time)} }

// Allow reports whether a report to the peer is due, and if so records it as
// sent. A report to a peer without a name is always due.
func (l *Limiter) Allow(peer string, now time.Time) bool {
	if peer == "" {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, known := l.lastReport[peer]; known && now.Sub(last) < Interval {
		return false
	}
	l.lastReport[peer] = now
	l.sweep(now)
	return true
}

func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < peerRetention {
		return
	}
	l.lastSweep = now
	for peer, last := range l.lastReport {
		if now.Sub(last) > peerRetention {
			delete(l.lastReport, peer)
		}
	}
}
