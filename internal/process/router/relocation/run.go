package relocation

import (
	"context"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

// Handoff says where a run resumes, and from which copy of its memory, if its
// stream ends early: at the target of a move, or at the source if the stopped run
// did not fit the target. It has nothing to do with the hand-over of an order
// ledger.
type Handoff struct {
	Target directory.View
	// CopySource is the value by which the target finds the copy.
	CopySource string
	// Events is the number of events produced before the handoff, 0 if unknown.
	Events int
	// Source is the upstream that still holds the stopped run, the zero value if
	// none does.
	Source directory.View
}

// Run is a generation in progress at one upstream. It is safe for concurrent
// use.
type Run struct {
	requestID string
	// promptTokens and outputTokens are the sizes that the request declares.
	promptTokens, outputTokens int
	service                    string
	// maxEventGap is the longest time between two events that callers accept, 0 for
	// no bound.
	maxEventGap time.Duration

	mu     sync.Mutex
	source directory.View
	// events counts the events that reached this process.
	events int
	// started is closed at the first event, ended at the end of the run.
	started, ended chan struct{}
	// moving is true during a move; moveDone is closed when the move ends.
	moving   bool
	moveDone chan struct{}
	// handoff is where the run resumes, nil if it cannot be resumed.
	handoff *Handoff
}

// NewRun returns a run of the request at the upstream.
func NewRun(requestID, service string, source directory.View, promptTokens, outputTokens int) *Run {
	return &Run{
		requestID: requestID, service: service, source: source,
		promptTokens: promptTokens, outputTokens: outputTokens,
		started: make(chan struct{}), ended: make(chan struct{}),
	}
}

// WithMaxEventGap sets the longest time between two events that callers accept, 0
// for no bound, and returns the run. It must be called before the run is tracked.
func (r *Run) WithMaxEventGap(gap time.Duration) *Run {
	r.maxEventGap = gap
	return r
}

// Event records that an event of the run arrived.
func (r *Run) Event() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events++; r.events == 1 {
		close(r.started)
	}
}

// Events returns the number of events that arrived.
func (r *Run) Events() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

// Source returns the upstream that runs the generation.
func (r *Run) Source() directory.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source
}

// TakeHandoff returns where the run resumes after its stream ended early, and
// false if it cannot be resumed. It waits for a move in progress.
func (r *Run) TakeHandoff(ctx context.Context) (Handoff, bool) {
	r.mu.Lock()
	moveDone := r.moveDone
	moving := r.moving
	r.mu.Unlock()
	if moving {
		select {
		case <-moveDone:
		case <-ctx.Done():
			return Handoff{}, false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handoff == nil {
		return Handoff{}, false
	}
	h := *r.handoff
	r.handoff = nil
	return h, true
}

// beginMove returns false if the run has ended or is already being moved.
func (r *Run) beginMove() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasEnded() || r.moving {
		return false
	}
	r.moving = true
	r.moveDone = make(chan struct{})
	return true
}

func (r *Run) endMove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moving = false
	close(r.moveDone)
}

// SetHandoff sets where the run resumes if its stream ends early.
func (r *Run) SetHandoff(h Handoff) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handoff = &h
}

func (r *Run) clearHandoff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handoff = nil
}

// hasEnded reports whether the run has ended.
func (r *Run) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

func (r *Run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasEnded() {
		close(r.ended)
	}
}

// awaitStart waits for the first event, as there is no memory to move before it.
// It returns false if the run ends without one.
func (r *Run) awaitStart(ctx context.Context) bool {
	select {
	case <-r.started:
		return !r.hasEnded()
	case <-r.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// outputTokenWeight is the value of an output token relative to a prompt token.
// Output counts for more because callers wait for it.
const outputTokenWeight = 10

// priority orders the runs that must leave an upstream. It is the value of the
// tokens that would be lost with the run, per token that must be copied.
func (r *Run) priority(eventTokens int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	generated := r.events * eventTokens
	output := max(r.outputTokens, generated)
	return float64(r.promptTokens+outputTokenWeight*output) / float64(max(1, r.promptTokens+generated))
}

// tokens returns the memory that the run occupies now, in tokens.
func (r *Run) tokens(eventTokens int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promptTokens + r.events*eventTokens
}

// remainingEvents returns the number of events that the run is expected to produce
// from now on. It is 0 if the run has produced all that its request declares.
func (r *Run) remainingEvents(eventTokens int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.outputTokens/max(1, eventTokens)-r.events)
}

func (r *Run) setSource(v directory.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source = v
}
