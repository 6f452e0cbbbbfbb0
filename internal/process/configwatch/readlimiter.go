package configwatch

import (
	"sync"
	"time"
)

const (
	// readsPerSecond and readBurst are the rate and the capacity of the token
	// bucket for the reads of one process from the configuration service. Within
	// any second, a process starts at most 5 reads. The 370 gateways of the target
	// size start at most 1,850, below the service's limit of 2,000, even if all
	// restart at once.
	readsPerSecond = 3
	readBurst      = 2
)

// readLimiter is a token bucket for reads. It is safe for concurrent use.
type readLimiter struct {
	mu sync.Mutex
	// available is the number of reads that may start at updatedAt. It is negative
	// while reads wait.
	available float64
	updatedAt time.Time
}

func newReadLimiter() *readLimiter { return &readLimiter{available: readBurst} }

// reserve reserves one read and returns how long it must wait before it starts.
func (r *readLimiter) reserve(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		if !r.updatedAt.IsZero() {
			r.available = min(readBurst, r.available+elapsed.Seconds()*readsPerSecond)
		}
		r.updatedAt = now
	}
	r.available--
	if r.available >= 0 {
		return 0
	}
	return time.Duration(-r.available / readsPerSecond * float64(time.Second))
}
