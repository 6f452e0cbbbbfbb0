package upstreampause

import (
	"sync"
	"time"
)

const (
	// maxPause bounds a pause, so that an upstream which states an absurd one is asked
	// again.
	maxPause = 5 * time.Minute
	// maxPauses bounds the pauses that are kept.
	maxPauses = 4096
)

// pause is the pause that one incarnation of an upstream asks for.
type pause struct {
	incarnation int64
	until       time.Time
	// returned is true once a run has returned to the upstream in the pause.
	returned bool
}

// Pauses holds the pauses of all upstreams. It is safe for concurrent use.
type Pauses struct {
	mu sync.Mutex
	// pauses holds the latest pause of each upstream, by ID.
	pauses map[string]pause
}

// New returns an empty set.
func New() *Pauses { return &Pauses{pauses: make(map[string]pause)} }

// Record records that the incarnation of the upstream wants no requests for the given
// time, of which at most five minutes count. It returns the time that counts. A
// shorter pause does not end a longer one.
func (p *Pauses) Record(id string, incarnation int64, length time.Duration, now time.Time) time.Duration {
	length = min(length, maxPause)
	if length <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, found := p.pauses[id]
	if found && incarnation < known.incarnation {
		return 0
	}
	if !found && len(p.pauses) >= maxPauses {
		p.removeEnded(now)
	}
	if !found || incarnation > known.incarnation || !now.Before(known.until) {
		known = pause{incarnation: incarnation}
	}
	if until := now.Add(length); until.After(known.until) {
		known.until = until
	}
	p.pauses[id] = known
	return length
}

// removeEnded removes the pauses that have ended, or the one that ends first if there
// is none.
func (p *Pauses) removeEnded(now time.Time) {
	first := ""
	for id, known := range p.pauses {
		if !now.Before(known.until) {
			delete(p.pauses, id)
			continue
		}
		if first == "" || known.until.Before(p.pauses[first].until) {
			first = id
		}
	}
	if len(p.pauses) >= maxPauses {
		delete(p.pauses, first)
	}
}

// Left returns the time until the upstream may get a request again, 0 for now. A pause
// binds also an incarnation that is unknown.
func (p *Pauses) Left(id string, incarnation int64, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses[id].left(incarnation, now)
}

func (k pause) left(incarnation int64, now time.Time) time.Duration {
	if incarnation > k.incarnation {
		return 0
	}
	return max(0, k.until.Sub(now))
}

// TakeReturn reports whether a run may return to the upstream that holds it. In a pause
// one run may, as it can continue nowhere else.
func (p *Pauses) TakeReturn(id string, incarnation int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pauses[id]
	if known.left(incarnation, now) == 0 {
		return true
	}
	if known.returned {
		return false
	}
	known.returned = true
	p.pauses[id] = known
	return true
}
