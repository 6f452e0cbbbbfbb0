package peers

import (
	"context"
	"sync"
	"time"
)

// restartTime is the time from the exit of a stopping router until callers can
// reach it again.
const restartTime = 1500 * time.Millisecond

// Stop notifies all peers that this router exits at the given time.
func (p *Peers) Stop(ctx context.Context, end time.Time) {
	p.mu.Lock()
	p.ownStopTime = end
	p.mu.Unlock()
	var notified sync.WaitGroup
	for _, address := range p.alive() {
		notified.Go(func() { p.exchange(ctx, address, 0) })
	}
	notified.Wait()
}

// TimeUntilAvailable returns the time until some router accepts long requests:
// zero if another router is not stopping, otherwise restartTime after the first
// of the routers exits.
func (p *Peers) TimeUntilAvailable(now time.Time) time.Duration {
	alive := p.alive()
	p.mu.Lock()
	defer p.mu.Unlock()
	earliest := p.ownStopTime
	for _, address := range alive {
		end := p.known[address].stopTime
		if end.Before(now) {
			return 0
		}
		if earliest.IsZero() || end.Before(earliest) {
			earliest = end
		}
	}
	return max(0, earliest.Sub(now)) + restartTime
}

// recordStop records when the peer exits, or that it is not stopping.
func (p *Peers) recordStop(m message) {
	stopTime := time.Time{}
	if m.StopsInMillis > 0 {
		stopTime = p.clock().Add(time.Duration(m.StopsInMillis) * time.Millisecond)
	}
	p.changePeer(m.Address, func(k *peer) { k.stopTime = stopTime })
}
