package scenarios_test

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// versionInterval is the time between two looks at the members' versions.
const versionInterval = 30 * time.Millisecond

// versionWatch notes members of a cluster that state an older configuration
// version than before, also across a restart.
type versionWatch struct {
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	highest map[string]uint64
	// reversions describes what was seen.
	reversions []string
}

// watchVersions looks at gateways and sidecars until end is called.
func watchVersions(c *cluster) *versionWatch {
	w := &versionWatch{stop: make(chan struct{}), highest: make(map[string]uint64)}
	for _, name := range c.members() {
		w.done.Go(func() { w.follow(c, name) })
	}
	return w
}

func (w *versionWatch) follow(c *cluster, name string) {
	ticker := time.NewTicker(versionInterval)
	defer ticker.Stop()
	for {
		w.note(name, c.versionAt(name))
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// note takes a stated version. Zero states that the member does not answer or has
// no configuration yet.
func (w *versionWatch) note(name string, version uint64) {
	if version == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.highest[name]
	w.highest[name] = max(before, version)
	reversion := fmt.Sprintf("%s went from version %d to %d", name, before, version)
	if version < before && !slices.Contains(w.reversions, reversion) {
		w.reversions = append(w.reversions, reversion)
	}
}

// seen returns the reversions so far.
func (w *versionWatch) seen() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reversions
}

func (w *versionWatch) end() {
	close(w.stop)
	w.done.Wait()
}
