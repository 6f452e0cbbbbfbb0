package engine

import (
	"math/rand/v2"
	"time"
)

// eventsKept bounds the cache events that a late reader can still get.
const eventsKept = 4096

// eventFeed holds the cache events. The engine's lock guards it.
type eventFeed struct {
	random *rand.Rand
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	cacheEvent
	visible time.Time
}

// publish records a cache event; some are lost, which leaves a gap in seq. The
// engine's lock is held.
func (e *Engine) publish(event cacheEvent) {
	f := &e.events
	f.seq++
	if f.random.Float64() < e.options.Profile.CacheEventLoss {
		return
	}
	event.Seq = f.seq
	f.events = append(f.events, timedEvent{event, time.Now().Add(e.options.Profile.CacheEventLag)})
	if len(f.events) > eventsKept {
		f.events = f.events[1:]
	}
}

// eventsAfter returns the visible cache events after the number.
func (e *Engine) eventsAfter(seq uint64, now time.Time) []cacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []cacheEvent
	for _, event := range e.events.events {
		if event.Seq > seq && !event.visible.After(now) {
			found = append(found, event.cacheEvent)
		}
	}
	return found
}
