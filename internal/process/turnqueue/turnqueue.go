package turnqueue

import (
	"context"
	"sort"
	"sync"
	"time"
)

// maxTurnTime bounds a turn, so that a router that crashes or loses its
// connection does not block the others.
const maxTurnTime = 1200 * time.Millisecond

// Request is a request for a turn.
type Request struct {
	// ID identifies the generation.
	ID string `json:"id"`
	// Priority orders the requests, the highest first.
	Priority float64 `json:"worth"`
}

type waiter struct {
	request Request
	granted chan struct{}
}

// Queue grants one turn at a time. It is safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// holder is the ID of the generation that has the turn, empty for none.
	holder  string
	waiters []*waiter
	// timer revokes the turn after maxTurnTime.
	timer *time.Timer
}

// New returns a queue without requests.
func New() *Queue { return &Queue{} }

// Acquire waits for the turn. It returns false if the context ends before the
// turn is granted.
func (q *Queue) Acquire(ctx context.Context, r Request) bool {
	w := &waiter{request: r, granted: make(chan struct{})}
	q.mu.Lock()
	q.waiters = append(q.waiters, w)
	sort.SliceStable(q.waiters, func(i, j int) bool { return q.waiters[i].request.Priority > q.waiters[j].request.Priority })
	q.grant()
	q.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		return q.withdraw(w)
	}
}

// TryAcquire acquires the turn if no other request holds it or waits for it.
func (q *Queue) TryAcquire(r Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.holder != "" || len(q.waiters) > 0 {
		return false
	}
	q.waiters = append(q.waiters, &waiter{request: r, granted: make(chan struct{})})
	q.grant()
	return true
}

// withdraw removes a request from the queue. It returns true if the turn has
// been granted in the meantime.
func (q *Queue) withdraw(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return false
		}
	}
	return true
}

// Release ends the turn of the generation, if it has the turn.
func (q *Queue) Release(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.holder != id {
		return
	}
	q.clearHolder()
	q.grant()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

func (q *Queue) clearHolder() {
	q.holder = ""
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
}

// grant grants the turn to the first waiting request if the turn is free.
func (q *Queue) grant() {
	if q.holder != "" || len(q.waiters) == 0 {
		return
	}
	w := q.waiters[0]
	q.waiters = q.waiters[1:]
	q.holder = w.request.ID
	id := q.holder
	q.timer = time.AfterFunc(maxTurnTime, func() { q.Release(id) })
	close(w.granted)
}
