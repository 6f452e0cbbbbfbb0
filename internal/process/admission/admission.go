package admission

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// Controller decides whether the upstream can take more work. It is safe for
// concurrent use.
type Controller struct {
	mu      sync.Mutex
	limit   int
	running map[string]work.Work
}

// New returns a controller for a cold upstream with the given upper bound on
// concurrency and block memory in tokens, 0 for a plain service.
func New(_ fleet.Policy, concurrency int, memoryTokens int, _ time.Time) *Controller {
	_ = memoryTokens
	return &Controller{limit: concurrency, running: make(map[string]work.Work)}
}

// Admit takes a place for the work and reports whether there was one.
func (c *Controller) Admit(w work.Work, _ time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.running) >= c.limit {
		return false
	}
	c.running[w.ID] = w
	return true
}

// Token records that the work generated a token.
func (c *Controller) Token(id string, now time.Time) {}

// Finish gives the place of the work back. Completed is false if the upstream
// failed or the work was cancelled.
func (c *Controller) Finish(id string, completed bool, _ time.Time) {
	_ = completed
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, id)
}

// ObserveEngine records an engine's load report: the used fraction of block
// memory and the total of preemptions.
func (c *Controller) ObserveEngine(usedMemory float64, preemptions uint64, now time.Time) {}

// Restart returns to the limits of a cold upstream.
func (c *Controller) Restart(now time.Time) {}

// Limit returns the number of attempts that may now run at once.
func (c *Controller) Limit(time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// Running returns the number of attempts that hold a place.
func (c *Controller) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// FreeMemory returns the uncommitted fraction of block memory, from 0 to 1.
func (c *Controller) FreeMemory() float64 { return 1 }

// StepMillis returns the recent time between tokens in milliseconds.
func (c *Controller) StepMillis() float64 { return 0 }

// Wait estimates how long work at the given queue position waits.
func (c *Controller) Wait(position int, now time.Time) time.Duration { return 0 }
