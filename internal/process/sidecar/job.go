package sidecar

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// job is an attempt that this sidecar accepted, until the ledger has its end.
type job struct {
	attempt *attempt.Attempt
	work    work.Work
	// trace carries the span of the offer, without its cancellation.
	trace context.Context
	// started is closed when the attempt was handed to the upstream. The run of a
	// generation is set before.
	started chan struct{}
	run     *run
	// refusal says why the attempt was not run, answer holds the upstream's
	// answer to a call, and failure says why there is none. One of them is set
	// before the ledger settles the attempt.
	refusal atomic.Pointer[problem.Problem]
	answer  atomic.Pointer[attempt.Response]
	failure atomic.Pointer[problem.Problem]

	mu sync.Mutex
	// requesters are the contexts of the requests that wait for the attempt.
	requesters map[int]context.Context
	entered    int
}

func newJob(ctx context.Context, a *attempt.Attempt, w work.Work) (j *job, leave func()) {
	j = &job{
		attempt:    a,
		work:       w,
		trace:      context.WithoutCancel(ctx),
		started:    make(chan struct{}),
		requesters: make(map[int]context.Context),
	}
	return j, j.enter(ctx)
}

// enter adds a requester and returns the function that removes it.
func (j *job) enter(ctx context.Context) (leave func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entered++
	number := j.entered
	j.requesters[number] = ctx
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.requesters, number)
	}
}

// abandoned reports whether no requester is connected.
func (j *job) abandoned() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, ctx := range j.requesters {
		if ctx.Err() == nil {
			return false
		}
	}
	return true
}
