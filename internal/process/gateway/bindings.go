package gateway

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/load"
)

// bindingAge is how long a reported incarnation is used for orders. A sidecar
// that was replaced since refuses the order with an unknown outcome, which an
// inquiry before the order avoids.
const bindingAge = 5 * time.Second

// bindings holds the incarnations that sidecars reported last, to which orders
// are bound.
type bindings struct {
	mu     sync.Mutex
	latest map[string]binding
}

type binding struct {
	incarnation string
	seen        time.Time
}

func newBindings() *bindings { return &bindings{latest: make(map[string]binding)} }

func (b *bindings) observe(report load.Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latest[report.Instance] = binding{report.Incarnation, now}
}

// get returns the instance's incarnation if it was reported recently.
func (b *bindings) get(instance string, now time.Time) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.latest[instance]
	return known.incarnation, ok && now.Sub(known.seen) <= bindingAge
}

// age returns the time since the instance's last report, and false if there was
// none.
func (b *bindings) age(instance string, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.latest[instance]
	return now.Sub(known.seen), ok
}

// retain forgets all instances but the named ones.
func (b *bindings) retain(names map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.latest {
		if !names[name] {
			delete(b.latest, name)
		}
	}
}
