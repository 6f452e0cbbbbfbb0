package fairqueue

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/request/work"
)

// Queue holds waiting work. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	capacity int
	waiting  []work.Work
}

// New returns an empty queue for at most capacity entries. If fair is false,
// it hands work out in order of arrival.
func New(capacity int, fair bool) *Queue {
	_ = fair
	return &Queue{capacity: capacity}
}

// Push adds work and reports whether there was room.
func (q *Queue) Push(w work.Work, _ time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.capacity {
		return false
	}
	q.waiting = append(q.waiting, w)
	return true
}

// Next returns the work whose turn it is without removing it.
func (q *Queue) Next() (work.Work, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return work.Work{}, false
	}
	return q.waiting[0], true
}

// Remove takes the work out, whether it was handed out, revoked or expired, and
// reports whether it was there.
func (q *Queue) Remove(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.IndexFunc(q.waiting, func(w work.Work) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Expired returns the work whose deadline has passed, without removing it.
func (q *Queue) Expired(now time.Time) []work.Work {
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []work.Work
	for _, w := range q.waiting {
		if now.After(w.Deadline) {
			expired = append(expired, w)
		}
	}
	return expired
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
