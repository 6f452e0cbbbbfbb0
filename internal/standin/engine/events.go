package engine

import (
	"math/rand/v2"
	"time"
)

// maxRetainedEvents limits the cache events that are retained for readers that
// connect or resume late.
const maxRetainedEvents = 4096

// eventFeed holds the most recent cache events. The engine's lock guards it.
type eventFeed struct {
	random *rand.Rand
	// seq is the number of the last event, published or dropped.
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	cacheEvent
	visibleAt time.Time
}

// publish records a cache event, or drops it with the probability CacheEventLoss,
// which leaves a gap in the sequence numbers. The engine's lock is held.
func (e *Engine) publish(event cacheEvent) {
	f := &e.events
	f.seq++
	if f.random.Float64() < e.options.Profile.CacheEventLoss {
		return
	}
	event.Seq = f.seq
	f.events = append(f.events, timedEvent{event, time.Now().Add(e.options.Profile.CacheEventLag)})
	if len(f.events) > maxRetainedEvents {
		f.events = f.events[1:]
	}
}

// eventsAfter returns the visible cache events with sequence numbers above seq.
func (e *Engine) eventsAfter(seq uint64, now time.Time) []cacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []cacheEvent
	for _, event := range e.events.events {
		if event.Seq > seq && !event.visibleAt.After(now) {
			found = append(found, event.cacheEvent)
		}
	}
	return found
}
