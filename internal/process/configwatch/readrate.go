package configwatch

import (
	"sync"
	"time"
)

const (
	// readsPerSecond and readBurst bound the reads of one process from the
	// configuration service. Within any second a process starts at most 5 reads;
	// the 370 gateways of the target size start at most 1,850, below the
	// service's 2,000, even if all restart at once.
	readsPerSecond = 3
	readBurst      = 2
)

// readRate spaces reads. It is safe for concurrent use.
type readRate struct {
	mu sync.Mutex
	// available is the number of reads that may start at the time of last. It is
	// negative while reads wait.
	available float64
	last      time.Time
}

func newReadRate() *readRate { return &readRate{available: readBurst} }

// reserve takes one read and returns how long it must wait.
func (r *readRate) reserve(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if elapsed := now.Sub(r.last); elapsed > 0 {
		if !r.last.IsZero() {
			r.available = min(readBurst, r.available+elapsed.Seconds()*readsPerSecond)
		}
		r.last = now
	}
	r.available--
	if r.available >= 0 {
		return 0
	}
	return time.Duration(-r.available / readsPerSecond * float64(time.Second))
}
