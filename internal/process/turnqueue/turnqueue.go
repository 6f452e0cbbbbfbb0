package turnqueue

import (
	"context"
	"sort"
	"sync"
	"time"
)

// maxHold bounds a turn, so that a router that dies or loses contact does not
// hold up the others.
const maxHold = 1200 * time.Millisecond

// Request asks for a turn.
type Request struct {
	// ID identifies the generation.
	ID string `json:"id"`
	// Worth orders the requests, the highest first.
	Worth float64 `json:"worth"`
}

type waiter struct {
	request Request
	granted chan struct{}
}

// Queue gives one turn at a time. It is safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// holder is the request whose turn it is, empty for none.
	holder  string
	waiters []*waiter
	// timer takes a turn back that is held for too long.
	timer *time.Timer
}

// New returns a queue without requests.
func New() *Queue { return &Queue{} }

// Acquire waits for the turn. It returns false if the context ends first.
func (q *Queue) Acquire(ctx context.Context, r Request) bool {
	w := &waiter{request: r, granted: make(chan struct{})}
	q.mu.Lock()
	q.waiters = append(q.waiters, w)
	sort.SliceStable(q.waiters, func(i, j int) bool { return q.waiters[i].request.Worth > q.waiters[j].request.Worth })
	q.grant()
	q.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		return q.withdraw(w)
	}
}

// TryAcquire takes the turn if nobody has it or waits for it.
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

// withdraw takes back a request, and returns true if it was granted meanwhile.
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

// Release ends the turn of the generation.
func (q *Queue) Release(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.holder != id {
		return
	}
	q.free()
	q.grant()
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

func (q *Queue) free() {
	q.holder = ""
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
}

// grant gives the turn to the first request if nobody has it.
func (q *Queue) grant() {
	if q.holder != "" || len(q.waiters) == 0 {
		return
	}
	w := q.waiters[0]
	q.waiters = q.waiters[1:]
	q.holder = w.request.ID
	id := q.holder
	q.timer = time.AfterFunc(maxHold, func() { q.Release(id) })
	close(w.granted)
}
