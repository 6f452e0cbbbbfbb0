package relocation

import (
	"context"
	"sync"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

// Handoff tells how a run goes on at another upstream.
type Handoff struct {
	Target directory.View
	// From names the copy to the target.
	From string
	// Events is the number of events made before the handoff, 0 if unknown.
	Events int
	// Source is the upstream that still holds a stopped run; its zero value
	// means that it does not.
	Source directory.View
}

// Run is a generation in progress at one upstream. It is safe for concurrent
// use.
type Run struct {
	requestID string
	// promptTokens and outputTokens are the sizes by the request's own word.
	promptTokens, outputTokens int
	service                    string

	mu     sync.Mutex
	source directory.View
	// events counts the events that reached this process.
	events int
	// started is closed at the first event, over at the end of the run.
	started, over chan struct{}
	// moving is true while a move is under way; settled is closed when it ends.
	moving  bool
	settled chan struct{}
	// handoff is where the run goes on, nil for nowhere.
	handoff *Handoff
}

// NewRun returns a run of the request at the upstream.
func NewRun(requestID, service string, source directory.View, promptTokens, outputTokens int) *Run {
	return &Run{
		requestID: requestID, service: service, source: source,
		promptTokens: promptTokens, outputTokens: outputTokens,
		started: make(chan struct{}), over: make(chan struct{}),
	}
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

// Source returns the upstream at which the run is.
func (r *Run) Source() directory.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source
}

// Continue returns where the run goes on after its stream ended early. It waits
// for a move that is under way.
func (r *Run) Continue(ctx context.Context) (Handoff, bool) {
	r.mu.Lock()
	settled := r.settled
	moving := r.moving
	r.mu.Unlock()
	if moving {
		select {
		case <-settled:
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

// beginMove returns false if the run has ended or moves already.
func (r *Run) beginMove() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOver() || r.moving {
		return false
	}
	r.moving = true
	r.settled = make(chan struct{})
	return true
}

func (r *Run) endMove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moving = false
	close(r.settled)
}

// SetHandoff sets where the run goes on if its stream ends early.
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

// isOver reports whether the run has ended.
func (r *Run) isOver() bool {
	select {
	case <-r.over:
		return true
	default:
		return false
	}
}

func (r *Run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isOver() {
		close(r.over)
	}
}

// awaitStart waits for the first event, as only then there is something to
// move. It returns false if the run ends without one.
func (r *Run) awaitStart(ctx context.Context) bool {
	select {
	case <-r.started:
		return !r.isOver()
	case <-r.over:
		return false
	case <-ctx.Done():
		return false
	}
}

// outputWorth is how much more a token of the output is worth than one of the
// prompt, as callers wait for it.
const outputWorth = 10

// worth orders the runs that must leave an upstream: by what is lost with the
// run for each token that must be copied.
func (r *Run) worth(eventTokens int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	made := r.events * eventTokens
	output := max(r.outputTokens, made)
	return float64(r.promptTokens+outputWorth*output) / float64(max(1, r.promptTokens+made))
}

// tokens returns the memory that the run takes now, in tokens.
func (r *Run) tokens(eventTokens int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promptTokens + r.events*eventTokens
}

func (r *Run) setSource(v directory.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source = v
}
