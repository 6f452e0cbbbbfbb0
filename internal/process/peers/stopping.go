package peers

import (
	"context"
	"sync"
	"time"
)

// restartTime is the time from the end of a stopping router until callers reach
// it again.
const restartTime = 1500 * time.Millisecond

// Stop tells all peers that this router ends at the given time.
func (p *Peers) Stop(ctx context.Context, end time.Time) {
	p.mu.Lock()
	p.ownEnd = end
	p.mu.Unlock()
	var told sync.WaitGroup
	for _, address := range p.living() {
		told.Go(func() { p.exchange(ctx, address, 0) })
	}
	told.Wait()
}

// TimeUntilAvailable returns when a router serves long requests again: at once if one of the
// others does not stop, otherwise some time after the first of them ends.
func (p *Peers) TimeUntilAvailable(now time.Time) time.Duration {
	living := p.living()
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.ownEnd
	for _, address := range living {
		end, stopping := p.ends[address]
		if !stopping || end.Before(now) {
			return 0
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return max(0, first.Sub(now)) + restartTime
}

// noteEnd takes over whether the peer stops.
func (p *Peers) noteEnd(m message) {
	if m.Address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.StopsInMillis <= 0 {
		delete(p.ends, m.Address)
		return
	}
	p.ends[m.Address] = p.clock().Add(time.Duration(m.StopsInMillis) * time.Millisecond)
}
