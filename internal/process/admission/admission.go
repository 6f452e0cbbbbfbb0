package admission

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/outputlength"
	"github.com/flamingohold/flamingohold/internal/process/ramp"
	"github.com/flamingohold/flamingohold/internal/process/stepcurve"
	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const (
	// defaultTargetMillis is the bound on the step time if the policy has none.
	defaultTargetMillis = 76
	// defaultQuantile is the quantile of the remaining output if the policy has
	// none.
	defaultQuantile = 0.8
	// tokensPerUnit is the number of generated tokens that count as one unit of
	// completed work in the slow start.
	tokensPerUnit = 64
	// holdTokens and holdCalls are the work after which an engine or a plain
	// service that was never seen to turn warm counts as warm. Twice the warm-up
	// of the engines measured so far, which is 1,500 tokens.
	holdTokens = 3000
	holdCalls  = 8
	// durationWeight is the weight of the newest duration in the mean.
	durationWeight = 0.1
	// memoryReserve is the fraction of free memory below which work that waits
	// is taken to wait for memory.
	memoryReserve = 0.05
)

// Controller decides whether the upstream can take more work. It is safe for
// concurrent use.
type Controller struct {
	mu     sync.Mutex
	policy fleet.Policy
	// full is the configured bound on concurrency, at least 1.
	full int
	// latest is the newest time that any call stated. A caller that was paused
	// between reading the clock and calling states an older one.
	latest  time.Time
	running map[string]*place
	ramp    *ramp.Ramp
	curve   *stepcurve.Curve
	lengths *outputlength.Estimator
	steps   steps
	memory  memory
	prefill prefill
	// meanDuration is the mean time from admission to the end of completed work.
	meanDuration time.Duration
}

// New returns a controller for a cold upstream with the given upper bound on
// concurrency and block memory in tokens, 0 for a plain service.
func New(policy fleet.Policy, concurrency int, memoryTokens int, now time.Time) *Controller {
	c := &Controller{
		policy:  withDefaults(policy),
		full:    max(1, concurrency),
		latest:  now,
		running: make(map[string]*place),
		ramp:    ramp.New(concurrency, holdUnits(memoryTokens), now),
		lengths: outputlength.New(),
		memory:  newMemory(memoryTokens),
	}
	c.curve = stepcurve.New(c.policy.TargetStepMillis)
	return c
}

// SetPolicy replaces the policy and the upper bound on concurrency. Running work
// above the new bound finishes.
func (c *Controller) SetPolicy(policy fleet.Policy, concurrency int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = withDefaults(policy)
	c.full = max(1, concurrency)
	c.ramp.SetFull(c.full)
	c.curve.SetTarget(c.policy.TargetStepMillis)
}

// Admit takes a place for the work and reports whether there was one. Work that
// holds a place or whose deadline has passed gets none.
func (c *Controller) Admit(w work.Work, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	if !c.admissible(w, now) {
		return false
	}
	p := &place{work: w, epoch: c.ramp.Epoch(), admitted: now}
	c.refine(p)
	c.running[w.ID] = p
	c.memory.held += p.held()
	c.prefill.begin(w, now)
	return true
}

// Token records that the work generated a token.
func (c *Controller) Token(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	p, ok := c.running[id]
	if !ok {
		return
	}
	c.apply(c.measure(p, now), now)
	p.generated++
	p.lastToken = now
	c.memory.held++
	if p.generated >= p.refineAt {
		c.refine(p)
	}
	c.credit(p, 1.0/tokensPerUnit, now)
}

// Finish gives the place of the work back. Completed is false if the upstream
// failed or the work was cancelled.
func (c *Controller) Finish(id string, completed bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	p, ok := c.running[id]
	if !ok {
		return
	}
	if completed {
		c.complete(p, now)
	}
	if p.generated > 0 {
		c.lengths.Observe(p.work.Account, p.work.Model, p.generated, completed)
		c.steps.decoding--
	}
	c.prefill.end(id, now)
	c.memory.held -= p.held()
	delete(c.running, id)
}

// ObserveEngine records an engine's load report: the used fraction of block
// memory and the total of preemptions.
func (c *Controller) ObserveEngine(usedMemory float64, preemptions uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	if c.memory.observe(usedMemory, preemptions, now) {
		c.reset(now)
	}
}

// Restart returns to the limits of a cold upstream.
func (c *Controller) Restart(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset(c.advance(now))
}

// Limit returns the number of attempts that may now run at once.
func (c *Controller) Limit(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limit(c.advance(now))
	if !c.budgeted() || len(c.running) == 0 {
		return limit
	}
	return max(1, min(limit, len(c.running)+c.places()))
}

// Running returns the number of attempts that hold a place.
func (c *Controller) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// FreeMemory returns the uncommitted fraction of block memory, from 0 to 1.
func (c *Controller) FreeMemory() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freeFraction()
}

// StepMillis returns the recent time between tokens in milliseconds.
func (c *Controller) StepMillis() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.curve.Last()
}

// Resets returns how often the controller returned to the limits of a cold
// upstream after New.
func (c *Controller) Resets() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ramp.Epoch() - 1
}

// Expected returns the expected tokens of prompt and output together, for fair
// queueing. It is 1 for work without a model.
func (c *Controller) Expected(w work.Work) int {
	if w.Model == "" {
		return 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.PromptTokens + c.remaining(w, 0, 0.5)
}

// Wait estimates how long work at the given queue position, from 0, waits. It
// is 0 while nothing has been completed.
func (c *Controller) Wait(position int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	limit := c.limit(now)
	free := max(0, limit-len(c.running))
	if c.budgeted() && c.freeFraction() < memoryReserve {
		free = 0
	}
	if position < free {
		return 0
	}
	parallel := max(1, min(limit, len(c.running)))
	return c.meanDuration * time.Duration(position-free+1) / time.Duration(parallel)
}

// advance returns the newest time known, and acts on what its passing shows.
func (c *Controller) advance(now time.Time) time.Time {
	if !now.After(c.latest) {
		return c.latest
	}
	if now.Sub(c.latest) > pauseGap {
		c.steps.resumed = now
	}
	c.latest = now
	c.memory.expire(now)
	if c.steps.silent(now) {
		c.steps.abandoned = true
		c.reset(now)
	}
	return now
}

func (c *Controller) admissible(w work.Work, now time.Time) bool {
	if _, ok := c.running[w.ID]; ok {
		return false
	}
	if !w.Deadline.IsZero() && now.After(w.Deadline) {
		return false
	}
	if len(c.running) >= c.limit(now) {
		return false
	}
	if c.policy.StepLimit && (c.steps.overdue(now) || !c.prefill.allows(w, now)) {
		return false
	}
	return c.fits(w)
}

// limit returns the bound on concurrency without regard to memory.
func (c *Controller) limit(now time.Time) int {
	limit := c.full
	if c.policy.SlowStart {
		limit = min(limit, c.ramp.Limit(now))
	}
	if c.policy.StepLimit {
		limit = min(limit, c.curve.Largest(c.full, now))
	}
	return limit
}

func (c *Controller) budgeted() bool { return c.policy.MemoryBudget && c.memory.capacity > 0 }

// fits reports whether the block memory has room. Work alone always fits: the
// engine refuses what it can never hold.
func (c *Controller) fits(w work.Work) bool {
	if !c.budgeted() || len(c.running) == 0 {
		return true
	}
	rest := c.remaining(w, 0, c.policy.LengthQuantile)
	return peak(append(c.demands(), demand{w.PromptTokens, rest})) <= c.memory.usable()
}

func (c *Controller) demands() []demand {
	demands := make([]demand, 0, len(c.running)+1)
	for _, p := range c.running {
		demands = append(demands, p.demand())
	}
	return demands
}

// places returns how many more attempts of the mean size of the running ones
// fit, at least one while any memory is free.
func (c *Controller) places() int {
	committed := peak(c.demands())
	free := c.memory.usable() - committed
	if free <= 0 {
		return 0
	}
	mean := max(1, committed/len(c.running))
	return max(1, free/mean)
}

// freeFraction returns the part of block memory that the running work will not
// occupy.
func (c *Controller) freeFraction() float64 {
	if c.memory.capacity <= 0 {
		return 1
	}
	free := c.memory.usable() - peak(c.demands())
	return min(1, max(0, float64(free)/float64(c.memory.capacity)))
}

// remaining returns the quantile of the further output of the work.
func (c *Controller) remaining(w work.Work, generated int, quantile float64) int {
	if w.Model == "" {
		return 0
	}
	tokens := c.lengths.Remaining(w.Account, w.Model, generated, quantile)
	if w.MaxTokens > 0 {
		tokens = min(tokens, max(0, w.MaxTokens-generated))
	}
	return tokens
}

// refine sets the expected length by what has been generated.
func (c *Controller) refine(p *place) {
	p.length = p.generated + c.remaining(p.work, p.generated, c.policy.LengthQuantile)
	p.refineAt = p.generated + refineStep + p.generated/refineFraction
}

// measure records the times that a token shows.
func (c *Controller) measure(p *place, now time.Time) stepcurve.Change {
	if p.generated > 0 {
		return c.steps.observe(p, c.curve, now)
	}
	c.steps.decoding++
	c.steps.arrive(now)
	c.prefill.end(p.work.ID, now)
	return c.curve.ObserveFirstToken(c.steps.decoding, p.work.PromptTokens, millis(now.Sub(p.admitted)), now)
}

// apply acts on what a measurement shows.
func (c *Controller) apply(change stepcurve.Change, now time.Time) {
	switch change {
	case stepcurve.TurnedCold:
		c.reset(now)
	case stepcurve.TurnedWarm:
		c.ramp.SetWarm()
		c.curve.Reset()
	}
}

func (c *Controller) complete(p *place, now time.Time) {
	duration := now.Sub(p.admitted)
	if c.meanDuration == 0 {
		c.meanDuration = duration
	}
	c.meanDuration += time.Duration(durationWeight * float64(duration-c.meanDuration))
	if p.work.Model != "" {
		return
	}
	c.credit(p, 1, now)
	c.apply(c.curve.ObserveFirstToken(len(c.running), 0, millis(duration), now), now)
}

// credit counts completed work towards the slow start. Work at a step time
// above the bound shows only that the upstream can bear no more.
func (c *Controller) credit(p *place, units float64, now time.Time) {
	if c.curve.WithinTarget() {
		c.ramp.Complete(units, p.epoch, len(c.running), now)
	}
}

func (c *Controller) reset(now time.Time) {
	c.ramp.Reset(now)
	c.curve.Reset()
	c.steps.discard()
}

func withDefaults(policy fleet.Policy) fleet.Policy {
	if policy.TargetStepMillis <= 0 {
		policy.TargetStepMillis = defaultTargetMillis
	}
	if policy.LengthQuantile <= 0 || policy.LengthQuantile >= 1 {
		policy.LengthQuantile = defaultQuantile
	}
	return policy
}

// holdUnits returns the work after which a new upstream counts as warm.
func holdUnits(memoryTokens int) float64 {
	if memoryTokens <= 0 {
		return holdCalls
	}
	return holdTokens / tokensPerUnit
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
