package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// finishedKept is how long the output of a finished sequence can be read again.
const finishedKept = 5 * time.Minute

// ErrTooLong is returned for a prompt that does not fit into block memory.
var ErrTooLong = errors.New("prompt does not fit into the context")

// Options configure an engine.
type Options struct {
	Name          string
	Models        []string
	Profile       Profile
	ChecksFencing bool
	// StartCold makes the engine cold at first.
	StartCold bool
	// WeightStore is the address from which orders load weights, none if empty.
	WeightStore string
}

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	options Options
	started time.Time

	mu        sync.Mutex
	memory    *memory
	sequences map[string]*sequence
	// waiting is in the order of service; running in the order of admission.
	waiting []*sequence
	running []*sequence
	arrived uint64
	// warmUp is the number of tokens until the engine is warm, 0 if it is warm.
	warmUp int
	// mostWhileCold is the largest number of requests held when one arrived at
	// the cold engine.
	mostWhileCold int
	preemptions   uint64
	executed      uint64
	frozen        chan struct{}
	slow          float64
	// silenced is raised by each silent-link fault; connections opened before
	// carry a lower number.
	silenced uint64
	wake     chan struct{}
	reports  []report
	events   eventFeed
	orders   orderBook
}

// report is a load report with the time at which it was true.
type report struct {
	at          time.Time
	running     int
	waiting     int
	used        float64
	preemptions uint64
}

// New returns an engine. Run makes it work.
func New(options Options) *Engine {
	e := &Engine{
		options:   options,
		started:   time.Now(),
		sequences: make(map[string]*sequence),
		slow:      1,
		wake:      make(chan struct{}, 1),
	}
	e.events.random = rand.New(rand.NewPCG(1, 2))
	e.orders.models = slices.Clone(options.Models)
	e.memory = newMemory(options.Profile.MemoryTokens/blockTokens, e.publish)
	if options.StartCold {
		e.warmUp = options.Profile.WarmUpTokens
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

// waitForWork returns when there is a sequence and the engine is not frozen.
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

// submit starts the request's generation or joins the one with its ID.
func (e *Engine) submit(r Request, now time.Time) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sequences[r.ID]; s != nil {
		return s, nil
	}
	s := newSequence(r, e.memory.capacity*blockTokens, now)
	if s.length <= 0 {
		return nil, ErrTooLong
	}
	e.forget(now)
	e.arrived++
	e.executed++
	s.order = e.arrived
	e.sequences[r.ID] = s
	e.enqueue(s)
	if e.warmUp > 0 {
		e.mostWhileCold = max(e.mostWhileCold, len(e.running)+len(e.waiting))
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

// forget drops the sequences that finished long ago.
func (e *Engine) forget(now time.Time) {
	for id, s := range e.sequences {
		if !s.finished.IsZero() && now.Sub(s.finished) > finishedKept {
			delete(e.sequences, id)
		}
	}
}

// cancel ends the sequence and reports whether it is known.
func (e *Engine) cancel(id string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[id]
	if s == nil {
		return false
	}
	if s.finished.IsZero() {
		s.reason = finishCancelled
		e.finish(s, now)
	}
	return true
}

// finish ends a sequence. The engine's lock is held.
func (e *Engine) finish(s *sequence, now time.Time) {
	e.memory.release(&s.holding)
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
	s.finished = now
	s.notify()
}

func without(list []*sequence, s *sequence) []*sequence {
	return slices.DeleteFunc(list, func(other *sequence) bool { return other == s })
}

// beginStep chooses the work of the next step and returns its duration.
func (e *Engine) beginStep(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.growRunning()
	e.admit()
	prefill := e.computePrefill()
	context := 0
	for _, s := range e.running {
		context += s.computed
	}
	e.warmBy(prefill + len(e.running))
	e.record(now)
	duration := e.options.Profile.stepTime(len(e.running), context, prefill, e.warmUp > 0)
	return time.Duration(float64(duration) * e.slow)
}

// warmBy counts work towards the end of the cold start. An overloaded cold
// engine makes no progress.
func (e *Engine) warmBy(tokens int) {
	if len(e.running) <= e.options.Profile.ColdSequences {
		e.warmUp = max(0, e.warmUp-tokens)
	}
}

// growRunning gives each running sequence room for its next token, preempting
// the last in the order of service while there is none.
func (e *Engine) growRunning() {
	for _, s := range slices.Clone(e.running) {
		for slices.Contains(e.running, s) && !e.memory.grow(&s.holding, s.tokens()+1) {
			e.preempt()
		}
	}
}

func (e *Engine) preempt() {
	victim := e.running[0]
	for _, s := range e.running {
		if victim.before(s) {
			victim = s
		}
	}
	e.memory.release(&victim.holding)
	victim.computed = 0
	e.running = without(e.running, victim)
	e.enqueue(victim)
	e.preemptions++
}

// admit moves waiting sequences into the batch while there is room.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.Profile.MaxSequences {
		s := e.waiting[0]
		cached, ok := e.memory.acquire(&s.holding, s.hashes, s.tokens()+1)
		if !ok {
			return
		}
		s.computed = min(cached, s.tokens()-1)
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
}

// computePrefill computes missing tokens within the bound of one step and
// returns their number.
func (e *Engine) computePrefill() int {
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

// endStep gives each running sequence whose context is computed one token.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Clone(e.running) {
		if s.computed < s.tokens() {
			continue
		}
		s.generated++
		if s.generated >= s.length {
			e.finish(s, now)
			continue
		}
		s.notify()
	}
}

// record keeps load reports for as long as Metrics lags behind.
func (e *Engine) record(now time.Time) {
	e.reports = append(e.reports, report{now, len(e.running), len(e.waiting), e.memory.used(), e.preemptions})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.Profile.MetricsLag {
		e.reports = e.reports[1:]
	}
}

// lagging returns the load report of MetricsLag ago.
func (e *Engine) lagging(now time.Time) report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(now)
	return e.reports[0]
}
