package gateway

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/load"
)

// maxBindingAge is how long a reported incarnation is used for orders. If the
// sidecar has been replaced since its last report, its successor refuses the
// order with an unknown outcome. Querying the state of a sidecar whose report
// is older avoids that.
const maxBindingAge = 5 * time.Second

// bindings holds the last reported incarnation of each instance's sidecar.
// Orders are bound to that incarnation.
type bindings struct {
	mu     sync.Mutex
	latest map[string]binding
}

type binding struct {
	incarnation string
	reportedAt  time.Time
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
	latest, ok := b.latest[instance]
	return latest.incarnation, ok && now.Sub(latest.reportedAt) <= maxBindingAge
}

// age returns the time since the instance's last report, and false if the
// instance has not reported.
func (b *bindings) age(instance string, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	latest, ok := b.latest[instance]
	return now.Sub(latest.reportedAt), ok
}

// retain removes all instances except the named ones.
func (b *bindings) retain(names map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.latest {
		if !names[name] {
			delete(b.latest, name)
		}
	}
}
