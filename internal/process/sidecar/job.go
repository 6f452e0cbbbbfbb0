package sidecar

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// job is an accepted attempt that the ledger has not settled yet.
type job struct {
	attempt *attempt.Attempt
	work    work.Work
	// trace carries the span of the offer, without its cancellation.
	trace context.Context
	// started is closed just before the attempt is sent to the upstream.
	started chan struct{}
	// generation is set before started is closed; nil for a call.
	generation *generationRun
	// refusal is the reason why the attempt was not run, answer is the upstream's
	// answer to a call, and failure is the reason why there is no answer. One of
	// them is set before the ledger settles the attempt.
	refusal atomic.Pointer[problem.Problem]
	answer  atomic.Pointer[attempt.Response]
	failure atomic.Pointer[problem.Problem]

	mu sync.Mutex
	// requesters maps a number to the context of each request that waits for the
	// attempt.
	requesters map[int]context.Context
	// lastNumber is the number of the requester added last.
	lastNumber int
}

// newJob returns a job with its first requester and the function that removes
// the requester.
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
	j.lastNumber++
	number := j.lastNumber
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
