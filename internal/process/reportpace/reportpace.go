package reportpace

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

// Pace records when each peer last received a report. It is safe for concurrent
// use.
type Pace struct {
	mu         sync.Mutex
	lastReport map[string]time.Time
	lastSweep  time.Time
}

// New returns a pace without peers.
func New() *Pace { return &Pace{lastReport: make(map[string]time.Time)} }

// Due reports whether a report to the peer is due, and if so records it as
// sent. A report to a peer without a name is always due.
func (p *Pace) Due(peer string, now time.Time) bool {
	if peer == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, known := p.lastReport[peer]; known && now.Sub(last) < Interval {
		return false
	}
	p.lastReport[peer] = now
	p.sweep(now)
	return true
}

func (p *Pace) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < peerRetention {
		return
	}
	p.lastSweep = now
	for peer, last := range p.lastReport {
		if now.Sub(last) > peerRetention {
			delete(p.lastReport, peer)
		}
	}
}
