package admission

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/outputlength"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ramp"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/stepcurve"
	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const (
	// defaultTargetMillis is the bound on the step time, in milliseconds, if the
	// policy sets none.
	defaultTargetMillis = 76
	// defaultQuantile is the quantile of the remaining output if the policy sets
	// none.
	defaultQuantile = 0.8
	// tokensPerUnit is the number of generated tokens that count as one unit of
	// completed work in the slow start.
	tokensPerUnit = 64
	// warmUpTokens and warmUpCalls are the amounts of completed work after which
	// an engine or a plain service counts as warm even if no drop of its step time
	// was detected. Engines warm up within 1,500 tokens, and warmUpTokens is twice
	// that.
	warmUpTokens = 3000
	warmUpCalls  = 8
	// durationWeight is the weight of the latest duration in the moving mean.
	durationWeight = 0.1
	// memoryReserve is the fraction of free memory below which queued work is
	// assumed to wait for memory.
	memoryReserve = 0.05
)

// Controller decides whether the upstream may be sent more work. It is safe for
// concurrent use.
type Controller struct {
	mu     sync.Mutex
	policy fleet.Policy
	// concurrency is the configured upper bound, at least 1.
	concurrency int
	// latest is the latest time that was passed to any method. A caller that was
	// paused between reading the clock and calling passes an earlier one.
	latest  time.Time
	running map[string]*attempt
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
		policy:      withDefaults(policy),
		concurrency: max(1, concurrency),
		latest:      now,
		running:     make(map[string]*attempt),
		ramp:        ramp.New(concurrency, warmUpUnits(memoryTokens), now),
		lengths:     outputlength.New(),
		memory:      newMemory(memoryTokens),
	}
	c.curve = stepcurve.New(c.policy.TargetStepMillis)
	return c
}

// SetPolicy replaces the policy and the upper bound on concurrency. Work that
// is already running above the new bound is not cancelled.
func (c *Controller) SetPolicy(policy fleet.Policy, concurrency int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = withDefaults(policy)
	c.concurrency = max(1, concurrency)
	c.ramp.SetMaxLimit(c.concurrency)
	c.curve.SetTarget(c.policy.TargetStepMillis)
}

// Admit starts an attempt for the work if the limits allow it, and reports
// whether they do. It rejects work that is already running or whose deadline has
// passed.
func (c *Controller) Admit(w work.Work, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	if !c.admissible(w, now) {
		return false
	}
	a := &attempt{work: w, epoch: c.ramp.Epoch(), admittedAt: now}
	c.refine(a)
	c.running[w.ID] = a
	c.memory.occupied += a.occupied()
	c.prefill.begin(w, now)
	return true
}

// ObserveToken records that the work generated a token.
func (c *Controller) ObserveToken(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	a, ok := c.running[id]
	if !ok {
		return
	}
	c.apply(c.measure(a, now), now)
	a.generated++
	a.lastToken = now
	c.memory.occupied++
	if a.generated >= a.refineAt {
		c.refine(a)
	}
	c.credit(a, 1.0/tokensPerUnit, now)
}

// Finish ends the attempt for the work and releases its memory reservation.
// Completed is false if the upstream failed or the work was cancelled.
func (c *Controller) Finish(id string, completed bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	a, ok := c.running[id]
	if !ok {
		return
	}
	if completed {
		c.complete(a, now)
	}
	if a.generated > 0 {
		c.lengths.Observe(a.work.Account, a.work.Model, a.generated, completed)
		c.steps.decoding--
	}
	c.prefill.end(id, now)
	c.memory.occupied -= a.occupied()
	delete(c.running, id)
}

// ObserveEngine records an engine's load report: the used fraction of block
// memory and the total number of preemptions.
func (c *Controller) ObserveEngine(usedMemory float64, preemptions uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	if c.memory.observe(usedMemory, preemptions, now) {
		c.reset(now)
	}
}

// Reset resets the limits to those of a cold upstream.
func (c *Controller) Reset(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset(c.advance(now))
}

// Limit returns the number of attempts that may now run at once.
func (c *Controller) Limit(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limit(c.advance(now))
	if !c.memoryBudgeted() || len(c.running) == 0 {
		return limit
	}
	return max(1, min(limit, len(c.running)+c.additionalAttempts()))
}

// Running returns the number of attempts that were admitted and have not
// finished.
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
	return c.curve.LastMillis()
}

// Resets returns how often the limits were reset to those of a cold upstream
// since New.
func (c *Controller) Resets() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ramp.Epoch() - 1
}

// ExpectedTokens returns the expected tokens of prompt and output together, for
// fair queueing. It is 1 for work without a model.
func (c *Controller) ExpectedTokens(w work.Work) int {
	if w.Model == "" {
		return 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.PromptTokens + c.remaining(w, 0, 0.5)
}

// EstimateWait estimates how long work at the given queue position, counted from
// 0, will wait. It returns 0 until some work has been completed.
func (c *Controller) EstimateWait(position int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.advance(now)
	limit := c.limit(now)
	free := max(0, limit-len(c.running))
	if c.memoryBudgeted() && c.freeFraction() < memoryReserve {
		free = 0
	}
	if position < free {
		return 0
	}
	parallel := max(1, min(limit, len(c.running)))
	return c.meanDuration * time.Duration(position-free+1) / time.Duration(parallel)
}

// advance returns the latest time known. It discards an expired engine report,
// and resets the limits if no token has arrived for too long.
func (c *Controller) advance(now time.Time) time.Time {
	if !now.After(c.latest) {
		return c.latest
	}
	if now.Sub(c.latest) > pauseGap {
		c.steps.resumedAt = now
	}
	c.latest = now
	c.memory.expire(now)
	if c.steps.timedOut(now) {
		c.steps.timeoutHandled = true
		c.reset(now)
	}
	return now
}

// admissible reports whether all limits allow the work to start now.
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
	limit := c.concurrency
	if c.policy.SlowStart {
		limit = min(limit, c.ramp.Limit(now))
	}
	if c.policy.StepLimit {
		limit = min(limit, c.curve.LargestBatch(c.concurrency, now))
	}
	return limit
}

// memoryBudgeted reports whether block memory bounds admission.
func (c *Controller) memoryBudgeted() bool { return c.policy.MemoryBudget && c.memory.capacity > 0 }

// fits reports whether the work fits in the block memory. If no other work
// runs, it always fits: the engine itself rejects work that can never fit.
func (c *Controller) fits(w work.Work) bool {
	if !c.memoryBudgeted() || len(c.running) == 0 {
		return true
	}
	remaining := c.remaining(w, 0, c.policy.LengthQuantile)
	return peak(append(c.demands(), demand{w.PromptTokens, remaining})) <= c.memory.usable()
}

// demands returns the memory demands of the running work.
func (c *Controller) demands() []demand {
	demands := make([]demand, 0, len(c.running)+1)
	for _, a := range c.running {
		demands = append(demands, a.demand())
	}
	return demands
}

// additionalAttempts returns how many more attempts of the mean size of the
// running ones fit in memory, at least one while the running ones do: one that ends
// before their peak needs no more at the peak.
func (c *Controller) additionalAttempts() int {
	committed := peak(c.demands())
	free := c.memory.usable() - committed
	if free < 0 {
		return 0
	}
	mean := max(1, committed/len(c.running))
	return max(1, free/mean)
}

// freeFraction returns the fraction of block memory that remains free at the
// expected peak of the running work.
func (c *Controller) freeFraction() float64 {
	if c.memory.capacity <= 0 {
		return 1
	}
	free := c.memory.usable() - peak(c.demands())
	return min(1, max(0, float64(free)/float64(c.memory.capacity)))
}

// remaining returns the given quantile of the remaining output of the work, in
// tokens.
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

// refine estimates the expected output length from the tokens generated so far.
func (c *Controller) refine(a *attempt) {
	a.length = a.generated + c.remaining(a.work, a.generated, c.policy.LengthQuantile)
	a.refineAt = a.generated + refineStep + a.generated/refineFraction
}

// measure records the time of a token, which is the time from admission to the
// first token or the gap since the previous token of the work, and returns the
// change of the upstream's state that it indicates.
func (c *Controller) measure(a *attempt, now time.Time) stepcurve.Change {
	if a.generated > 0 {
		return c.steps.observe(a, c.curve, now)
	}
	c.steps.decoding++
	c.steps.recordArrival(now)
	c.prefill.end(a.work.ID, now)
	return c.curve.ObserveFirstToken(c.steps.decoding, a.work.PromptTokens, millis(now.Sub(a.admittedAt)), now)
}

// apply adapts the limits to a detected change of the upstream's state.
func (c *Controller) apply(change stepcurve.Change, now time.Time) {
	switch change {
	case stepcurve.BecameCold:
		c.reset(now)
	case stepcurve.BecameWarm:
		c.ramp.SetWarm()
		c.curve.Reset()
	}
}

// complete records the duration of completed work. A call to a plain service
// also counts towards the slow start and as a time to the first token.
func (c *Controller) complete(a *attempt, now time.Time) {
	duration := now.Sub(a.admittedAt)
	if c.meanDuration == 0 {
		c.meanDuration = duration
	}
	c.meanDuration += time.Duration(durationWeight * float64(duration-c.meanDuration))
	if a.work.Model != "" {
		return
	}
	c.credit(a, 1, now)
	c.apply(c.curve.ObserveFirstToken(len(c.running), 0, millis(duration), now), now)
}

// credit counts completed work towards the slow start. Work at a step time
// above the target does not count, because the upstream is already overloaded
// then.
func (c *Controller) credit(a *attempt, units float64, now time.Time) {
	if c.curve.WithinTarget() {
		c.ramp.Complete(units, a.epoch, len(c.running), now)
	}
}

func (c *Controller) reset(now time.Time) {
	c.ramp.Reset(now)
	c.curve.Reset()
	c.steps.reset()
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

// warmUpUnits returns the units of completed work after which a new upstream
// counts as warm.
func warmUpUnits(memoryTokens int) float64 {
	if memoryTokens <= 0 {
		return warmUpCalls
	}
	return warmUpTokens / tokensPerUnit
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
