package scenarios_test

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// versionInterval is the time between two queries of a member's version.
const versionInterval = 30 * time.Millisecond

// versionWatcher polls the gateways and sidecars of a cluster and records each
// that reports an older configuration version than before, even across a restart.
type versionWatcher struct {
	stop chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// highest holds the highest version that each member reported.
	highest map[string]uint64
	// reversions describes each change to an older version once.
	reversions []string
}

// watchVersions polls the running gateways and sidecars until close is called.
func watchVersions(c *cluster) *versionWatcher {
	w := &versionWatcher{stop: make(chan struct{}), highest: make(map[string]uint64)}
	for _, name := range c.members() {
		w.done.Go(func() { w.pollMember(c, name) })
	}
	return w
}

func (w *versionWatcher) pollMember(c *cluster, name string) {
	ticker := time.NewTicker(versionInterval)
	defer ticker.Stop()
	for {
		w.record(name, c.versionAt(name))
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// record compares a reported version with the highest one so far. A version of 0
// means that the member does not respond or has no configuration yet.
func (w *versionWatcher) record(name string, version uint64) {
	if version == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	highest := w.highest[name]
	w.highest[name] = max(highest, version)
	reversion := fmt.Sprintf("%s went from version %d to %d", name, highest, version)
	if version < highest && !slices.Contains(w.reversions, reversion) {
		w.reversions = append(w.reversions, reversion)
	}
}

// detected returns the reversions so far.
func (w *versionWatcher) detected() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reversions
}

func (w *versionWatcher) close() {
	close(w.stop)
	w.done.Wait()
}
