package reportpace

import (
	"sync"
	"time"
)

const (
	// Interval is the least time between two reports to one peer. A report on
	// each of the 349 streams of a gateway at the size of docs/CAPACITY.md would
	// cost 116 KB/s, against 20 KB/s for all control; 20 instances that report
	// once in this interval cost 6.6 KB/s.
	Interval = time.Second
	// retention is how long a peer is remembered after its last report.
	retention = time.Minute
)

// Pace remembers when each peer last received a report. It is safe for
// concurrent use.
type Pace struct {
	mu    sync.Mutex
	last  map[string]time.Time
	swept time.Time
}

// New returns a pace without peers.
func New() *Pace { return &Pace{last: make(map[string]time.Time)} }

// Due reports whether a report is due to the peer, and if so counts it as sent.
// Peers without a name are always due.
func (p *Pace) Due(peer string, now time.Time) bool {
	if peer == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, known := p.last[peer]; known && now.Sub(last) < Interval {
		return false
	}
	p.last[peer] = now
	p.sweep(now)
	return true
}

func (p *Pace) sweep(now time.Time) {
	if now.Sub(p.swept) < retention {
		return
	}
	p.swept = now
	for peer, last := range p.last {
		if now.Sub(last) > retention {
			delete(p.last, peer)
		}
	}
}
