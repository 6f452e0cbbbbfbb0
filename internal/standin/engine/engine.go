package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// finishedRetention is how long the output of a finished sequence can still be
// resumed.
const finishedRetention = 5 * time.Minute

// ErrTooLong is returned for a prompt that leaves no room for output in block
// memory.
var ErrTooLong = errors.New("prompt does not fit into the context")

// Options configure an engine.
type Options struct {
	Name    string
	Models  []string
	Profile Profile
	// ChecksFencing makes the engine refuse control requests with a stale fencing
	// number.
	ChecksFencing bool
	// StartCold starts the engine cold: its steps are slower until it has
	// processed Profile.WarmUpTokens.
	StartCold bool
	// WeightStore is the "host:port" from which load requests fetch weights, empty
	// for none.
	WeightStore string
}

// Engine is a stand-in inference engine. It is safe for concurrent use.
type Engine struct {
	options Options
	started time.Time

	mu        sync.Mutex
	memory    *memory
	sequences map[string]*sequence
	// waiting is sorted by priority, then arrival; running is in order of
	// admission to the batch.
	waiting  []*sequence
	running  []*sequence
	arrivals uint64
	// warmUpRemaining is the number of tokens until the engine is warm, 0 if it
	// is warm.
	warmUpRemaining int
	// maxRequestsWhileCold is the largest number of requests running or waiting
	// right after one arrived while the engine was cold.
	maxRequestsWhileCold int
	preemptions          uint64
	// executed counts the submitted sequences. A retry with the same request ID
	// is not counted.
	executed uint64
	// frozen is closed when a freeze ends, nil if the engine is not frozen.
	frozen chan struct{}
	// slowFactor multiplies the step time.
	slowFactor float64
	// silentFaults counts the silent-link faults. A connection is silent if it
	// was opened at a lower count.
	silentFaults uint64
	// streamErrors is the number of streams that are still to break off with an error.
	streamErrors int
	wake         chan struct{}
	reports      []report
	events       eventFeed
	control      controlState
}

// report is a load report with the time at which it was taken.
type report struct {
	at           time.Time
	running      int
	waiting      int
	usedFraction float64
	preemptions  uint64
}

// New returns an engine that processes no requests until Run is called.
func New(options Options) *Engine {
	e := &Engine{
		options:    options,
		started:    time.Now(),
		sequences:  make(map[string]*sequence),
		slowFactor: 1,
		wake:       make(chan struct{}, 1),
	}
	e.events.random = rand.New(rand.NewPCG(1, 2))
	e.control.models = slices.Clone(options.Models)
	e.memory = newMemory(options.Profile.MemoryTokens/blockTokens, e.publish)
	if options.StartCold {
		e.warmUpRemaining = options.Profile.WarmUpTokens
	}
	return e
}

// Run executes steps until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		if err := e.waitForWork(ctx); err != nil {
			return err
		}
		duration := e.beginStep(time.Now())
		if err := sleep(ctx, duration); err != nil {
			return err
		}
		e.endStep(time.Now())
	}
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// waitForWork blocks until a sequence is waiting or running and the engine is
// not frozen.
func (e *Engine) waitForWork(ctx context.Context) error {
	for {
		e.mu.Lock()
		frozen := e.frozen
		idle := len(e.waiting)+len(e.running) == 0
		e.mu.Unlock()
		if frozen == nil && !idle {
			return nil
		}
		wake := (<-chan struct{})(e.wake)
		if frozen != nil {
			wake = frozen
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		}
	}
}

// submit queues a sequence for the request, or returns the existing sequence
// with the request's ID.
func (e *Engine) submit(r Request, now time.Time) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sequences[r.ID]; s != nil {
		return s, nil
	}
	s := newSequence(r, e.memory.capacity*blockTokens, now)
	if s.outputTokens <= 0 {
		return nil, ErrTooLong
	}
	e.evictFinished(now)
	e.arrivals++
	e.executed++
	s.arrivalNumber = e.arrivals
	e.sequences[r.ID] = s
	e.enqueue(s)
	if e.warmUpRemaining > 0 {
		e.maxRequestsWhileCold = max(e.maxRequestsWhileCold, len(e.running)+len(e.waiting))
	}
	e.signal()
	return s, nil
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) enqueue(s *sequence) {
	i := slices.IndexFunc(e.waiting, s.before)
	if i < 0 {
		i = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, i, s)
}

// evictFinished drops the sequences that finished more than finishedRetention
// ago.
func (e *Engine) evictFinished(now time.Time) {
	for id, s := range e.sequences {
		if !s.finished.IsZero() && now.Sub(s.finished) > finishedRetention {
			delete(e.sequences, id)
		}
	}
}

// cancel ends the sequence with the ID and reports whether it exists.
func (e *Engine) cancel(id string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[id]
	if s == nil {
		return false
	}
	if s.finished.IsZero() {
		s.finishReason = finishCancelled
		e.finish(s, now)
	}
	return true
}

// finish ends a sequence. The engine's lock is held.
func (e *Engine) finish(s *sequence, now time.Time) {
	e.memory.release(&s.allocation)
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
	s.finished = now
	s.notify()
}

func without(list []*sequence, s *sequence) []*sequence {
	return slices.DeleteFunc(list, func(other *sequence) bool { return other == s })
}

// beginStep schedules the work of the next step and returns the step's duration.
func (e *Engine) beginStep(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.growRunning()
	e.admit()
	prefill := e.computeTokens()
	contextTokens := 0
	for _, s := range e.running {
		contextTokens += s.computed
	}
	e.advanceWarmUp(prefill + len(e.running))
	e.record(now)
	duration := e.options.Profile.stepTime(len(e.running), contextTokens, prefill, e.warmUpRemaining > 0)
	return time.Duration(float64(duration) * e.slowFactor)
}

// advanceWarmUp counts processed tokens towards the end of the cold start. A cold
// engine that runs more than ColdSequences makes no progress.
func (e *Engine) advanceWarmUp(tokens int) {
	if len(e.running) <= e.options.Profile.ColdSequences {
		e.warmUpRemaining = max(0, e.warmUpRemaining-tokens)
	}
}

// growRunning reserves memory for the next token of each running sequence. While
// the memory is too small, it preempts the running sequence that is last in the
// order of service.
func (e *Engine) growRunning() {
	for _, s := range slices.Clone(e.running) {
		for slices.Contains(e.running, s) && !e.memory.grow(&s.allocation, s.tokens()+1) {
			e.preempt()
		}
	}
}

// preempt frees the memory of the running sequence that is last in the order of
// service, and returns that sequence to the queue.
func (e *Engine) preempt() {
	victim := e.running[0]
	for _, s := range e.running {
		if victim.before(s) {
			victim = s
		}
	}
	e.memory.release(&victim.allocation)
	victim.computed = 0
	e.running = without(e.running, victim)
	e.enqueue(victim)
	e.preemptions++
}

// admit moves waiting sequences into the batch while batch and memory have room.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.Profile.MaxSequences {
		s := e.waiting[0]
		cached, ok := e.memory.acquire(&s.allocation, s.hashes, s.tokens()+1)
		if !ok {
			return
		}
		s.computed = min(cached, s.tokens()-1)
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
}

// computeTokens advances each decoding sequence by one token and prefills the
// others within the token limit of one step. It returns the number of prefilled
// tokens.
func (e *Engine) computeTokens() int {
	budget := e.options.Profile.PrefillTokensPerStep
	for _, s := range e.running {
		if s.decodes() {
			s.computed++
			continue
		}
		n := min(s.tokens()-s.computed, budget)
		s.computed += n
		budget -= n
	}
	return e.options.Profile.PrefillTokensPerStep - budget
}

// endStep appends one token to each running sequence whose context is computed.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Clone(e.running) {
		if s.computed < s.tokens() {
			continue
		}
		s.generated++
		if s.generated >= s.outputTokens {
			e.finish(s, now)
			continue
		}
		s.notify()
	}
}

// record appends a load report and drops those that precede the one that was
// current MetricsLag ago.
func (e *Engine) record(now time.Time) {
	e.reports = append(e.reports, report{now, len(e.running), len(e.waiting), e.memory.usedFraction(), e.preemptions})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.Profile.MetricsLag {
		e.reports = e.reports[1:]
	}
}

// laggedReport returns the load report that was current MetricsLag ago.
func (e *Engine) laggedReport(now time.Time) report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(now)
	return e.reports[0]
}
