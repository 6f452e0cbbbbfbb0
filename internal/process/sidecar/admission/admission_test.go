package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

var start = time.Unix(1_000_000, 0)

func generation(id string, prompt, maxTokens int) work.Work {
	return work.Work{ID: id, Account: "a", Weight: 1, Model: "m", PromptTokens: prompt, MaxTokens: maxTokens}
}

// policyWith returns a policy in which only the mechanisms set by enable are
// on.
func policyWith(enable func(p *fleet.Policy)) fleet.Policy {
	policy := fleet.Policy{LengthQuantile: 0.8, TargetStepMillis: 76}
	enable(&policy)
	return policy
}

// engine is a fake that generates one token per step for each running
// generation. While it is cold, its steps are slow. With more than four
// generations they are much slower still and do not warm the engine up.
type engine struct {
	controller *Controller
	now        time.Time
	// warmUp is the number of tokens that the engine must still generate to
	// become warm.
	warmUp    int
	remaining map[string]int
	nextID    int
	// maxColdBatch is the largest batch observed while the engine was cold.
	maxColdBatch int
}

func (e *engine) step() time.Duration {
	batch := len(e.remaining)
	d := 17*time.Millisecond + time.Duration(batch)*500*time.Microsecond
	if e.warmUp <= 0 {
		return d
	}
	excess := max(1, float64(batch)/4)
	return time.Duration(4 * excess * excess * float64(d))
}

// run admits as much work as possible and executes steps for the given time.
func (e *engine) run(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); {
		for e.controller.Admit(generation(fmt.Sprint(e.nextID), 100, 0), e.now) {
			e.remaining[fmt.Sprint(e.nextID)] = 50 + e.nextID*37%200
			e.nextID++
		}
		e.now = e.now.Add(e.step())
		if e.warmUp > 0 {
			e.maxColdBatch = max(e.maxColdBatch, len(e.remaining))
		}
		if len(e.remaining) <= 4 {
			e.warmUp -= len(e.remaining)
		}
		for id := range e.remaining {
			e.token(id)
		}
	}
}

func (e *engine) token(id string) {
	e.controller.ObserveToken(id, e.now)
	e.remaining[id]--
	if e.remaining[id] == 0 {
		delete(e.remaining, id)
		e.controller.Finish(id, true, e.now)
	}
}

func newEngine(policy fleet.Policy, warmUp int) *engine {
	return &engine{
		controller: New(policy, 128, 1_000_000, start),
		now:        start,
		warmUp:     warmUp,
		remaining:  make(map[string]int),
	}
}

// Guards against an overloaded cold engine, an underused warm engine and a step
// time above the target.
func TestColdEngineGetsFullLoadOnlyOnceWarm(t *testing.T) {
	for _, warmUp := range []int{0, 300, 1500} {
		e := newEngine(fleet.DefaultPolicy(), warmUp)
		e.run(2 * time.Minute)
		require.LessOrEqual(t, e.maxColdBatch, 4)
		require.LessOrEqual(t, e.warmUp, 0)
		require.LessOrEqual(t, e.step(), 76*time.Millisecond)
		require.Greater(t, len(e.remaining), 80)
	}
}

// Guards against a limit that stays high after the engine has become cold
// without a restart signal.
func TestStoppedTokensResetLimit(t *testing.T) {
	e := newEngine(fleet.DefaultPolicy(), 0)
	e.run(time.Minute)
	require.Greater(t, len(e.remaining), 50)
	require.Zero(t, e.controller.Resets())
	e.warmUp = 500
	running := e.controller.Running()
	for second := range 10 {
		e.controller.Limit(e.now.Add(time.Duration(second) * time.Second))
	}
	require.Positive(t, e.controller.Resets())
	require.LessOrEqual(t, e.controller.Limit(e.now.Add(10*time.Second)), 4)
	require.False(t, e.controller.Admit(generation("new", 100, 0), e.now.Add(10*time.Second)))
	require.Equal(t, running, e.controller.Running())
}

// Guards against concurrent Admit calls that together exceed the limit.
func TestConcurrentAdmitRespectsLimit(t *testing.T) {
	c := New(policyWith(func(*fleet.Policy) {}), 10, 0, start)
	var admitted sync.Map
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			if c.Admit(work.Work{ID: fmt.Sprint(i)}, start) {
				admitted.Store(i, true)
			}
		})
	}
	group.Wait()
	count := 0
	admitted.Range(func(any, any) bool { count++; return true })
	require.Equal(t, 10, count)
	require.Equal(t, 10, c.Running())
}

// Guards, for any order of calls, against more running work than the limits
// allow and against reservations that are not released.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		concurrency := rapid.IntRange(1, 80).Draw(t, "concurrency")
		capacity := rapid.SampledFrom([]int{0, 2000, 16_000}).Draw(t, "memory")
		c := New(fleet.DefaultPolicy(), concurrency, capacity, start)
		now := start
		var ids []string
		for i := range 150 {
			now = now.Add(time.Duration(rapid.IntRange(-50, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				w := generation(fmt.Sprint(i), rapid.IntRange(0, 5000).Draw(t, "prompt"), rapid.IntRange(0, 500).Draw(t, "max"))
				before, limit := c.Running(), c.Limit(now)
				if !c.Admit(w, now) {
					continue
				}
				ids = append(ids, w.ID)
				require.LessOrEqual(t, c.Running(), limit)
				if before > 0 && capacity > 0 {
					requireFits(t, c)
				}
			case 3:
				if len(ids) > 0 {
					c.ObserveToken(rapid.SampledFrom(ids).Draw(t, "id"), now)
				}
			case 4:
				if len(ids) > 0 {
					c.Finish(rapid.SampledFrom(ids).Draw(t, "id"), rapid.Bool().Draw(t, "completed"), now)
				}
			case 5:
				c.ObserveEngine(rapid.Float64Range(-1, 2).Draw(t, "used"), rapid.Uint64Range(0, 9).Draw(t, "preemptions"), now)
			case 6:
				c.Reset(now)
				require.LessOrEqual(t, c.Limit(now), c.ramp.ColdLimit())
			}
			require.GreaterOrEqual(t, c.FreeMemory(), 0.0)
			require.LessOrEqual(t, c.FreeMemory(), 1.0)
			require.GreaterOrEqual(t, c.EstimateWait(3, now), time.Duration(0))
		}
		for _, id := range ids {
			c.Finish(id, false, now)
		}
		require.Zero(t, c.Running())
		require.Zero(t, c.memory.occupied)
		require.Zero(t, c.steps.decoding)
	})
}

// requireFits simulates the growth of all generations token by token and
// requires that they never occupy more than the usable memory.
func requireFits(t *rapid.T, c *Controller) {
	for grown := 0; ; grown++ {
		occupied, growing := 0, false
		for _, a := range c.running {
			if remaining := a.length - a.generated; remaining >= grown || grown == 0 {
				occupied += a.occupied() + grown
				growing = growing || remaining > grown
			}
		}
		require.LessOrEqual(t, occupied, c.memory.usable())
		if !growing {
			return
		}
	}
}

// Guards against work admitted after its deadline because the process was
// paused between reading the clock and calling Admit.
func TestPausedCallerCannotAdmitExpiredWork(t *testing.T) {
	c := New(policyWith(func(*fleet.Policy) {}), 10, 0, start)
	late := work.Work{ID: "late", Deadline: start.Add(time.Second)}
	require.False(t, c.Admit(late, start.Add(2*time.Second)))
	c.Limit(start.Add(2 * time.Second))
	require.False(t, c.Admit(late, start), "the clock was read before the pause")
}

// Guards against an engine that becomes cold at low load, where its steps slow
// down but do not stop, and receives more work before it is warm again.
func TestSlowStepsAtLowLoadResetLimit(t *testing.T) {
	e := newEngine(fleet.DefaultPolicy(), 0)
	e.run(time.Minute)
	for id := range e.remaining {
		if len(e.remaining) > 6 {
			delete(e.remaining, id)
			e.controller.Finish(id, false, e.now)
		}
	}
	e.warmUp = 1500
	for range 200 {
		e.now = e.now.Add(e.step())
		for id := range e.remaining {
			e.controller.ObserveToken(id, e.now)
		}
	}
	require.EqualValues(t, 1, e.controller.Resets())
	require.Equal(t, 4, e.controller.Limit(e.now))
}

// Guards against new work for an engine that has stopped sending tokens,
// against idle connections that block admission permanently, and against a
// pause of this process that is mistaken for a cold engine.
func TestOverdueTokensStopAdmission(t *testing.T) {
	c := New(policyWith(func(p *fleet.Policy) { p.StepLimit = true }), 10, 0, start)
	require.True(t, c.Admit(generation("1", 10, 0), start))
	c.ObserveToken("1", start)
	require.False(t, c.Admit(generation("2", 10, 0), start.Add(2*time.Second)))
	require.False(t, c.Admit(generation("3", 10, 0), start.Add(10*time.Second)))
	require.Zero(t, c.Resets())
	for second := range 8 {
		c.Limit(start.Add(time.Duration(10+second) * time.Second))
	}
	require.EqualValues(t, 1, c.Resets())
	require.True(t, c.Admit(generation("4", 10, 0), start.Add(18*time.Second)))
}

// Guards against memory reservations for the mean output length, which exceed
// block memory, and for the maximum, which leave most of it unused.
func TestMemoryIsReservedByQuantile(t *testing.T) {
	c := New(policyWith(func(p *fleet.Policy) { p.MemoryBudget = true }), 1000, 10_000, start)
	for i := range 100 {
		id := fmt.Sprint("warm-", i)
		require.True(t, c.Admit(generation(id, 10, 100+i%2*300), start))
		for range 100 + i%2*300 {
			c.ObserveToken(id, start)
		}
		c.Finish(id, true, start)
	}
	admitted := 0
	for c.Admit(generation(fmt.Sprint(admitted), 100, 4000), start) {
		admitted++
	}
	require.InDelta(t, 10_000/500, admitted, 6)
}

// Guards against a single late report that blocks admission, and against memory
// in use by work unknown to the controller that is counted as free.
func TestUnattributedMemoryIsNotFree(t *testing.T) {
	c := New(policyWith(func(p *fleet.Policy) { p.MemoryBudget = true }), 1000, 10_000, start)
	c.ObserveEngine(0.4, 0, start)
	c.ObserveEngine(0, 0, start.Add(time.Second))
	for i := range 2 {
		c.ObserveEngine(0.4, 0, start.Add(time.Duration(2+i)*time.Second))
		require.InDelta(t, 1, c.FreeMemory(), 1e-9)
	}
	c.ObserveEngine(0.4, 0, start.Add(4*time.Second))
	require.InDelta(t, 0.6, c.FreeMemory(), 1e-9)
	c.Limit(start.Add(20 * time.Second))
	require.InDelta(t, 1, c.FreeMemory(), 1e-9, "the report has expired")
}

// Guards against unused memory because generations that end soon are counted at
// their final size together with the final size of new ones.
func TestPeakAccountsForEarlyCompletion(t *testing.T) {
	demands := []demand{{occupied: 900, remaining: 10}, {occupied: 100, remaining: 500}, {occupied: 100, remaining: 500}}
	require.Equal(t, 1200, peak(demands))
	require.Equal(t, 0, peak(nil))
	require.Equal(t, 1130, peak([]demand{{900, 10}, {100, 20}, {100, 30}}))
}

// Guards against a preemption that does not lower the usable block memory, and
// against an engine restart that is not detected.
func TestPreemptionLowersMemoryAndCounterDropResetsLimit(t *testing.T) {
	c := New(fleet.DefaultPolicy(), 64, 10_000, start)
	c.ObserveEngine(0, 5, start)
	require.InDelta(t, 1, c.FreeMemory(), 0.001)
	c.ObserveEngine(0, 6, start.Add(time.Second))
	require.InDelta(t, 0.9, c.FreeMemory(), 0.001)
	require.Zero(t, c.Resets())
	c.ObserveEngine(0, 0, start.Add(2*time.Second))
	require.EqualValues(t, 1, c.Resets())
}

// Guards against long prompts that start together and delay every running
// generation, and against a long prompt that is never admitted.
func TestLongPrefillsAreSpaced(t *testing.T) {
	c := New(policyWith(func(p *fleet.Policy) { p.StepLimit = true }), 64, 0, start)
	require.True(t, c.Admit(generation("long-1", 10_000, 0), start))
	require.False(t, c.Admit(generation("long-2", 10_000, 0), start))
	require.True(t, c.Admit(generation("short", 100, 0), start))
	first := start.Add(600 * time.Millisecond)
	c.ObserveToken("long-1", first)
	require.False(t, c.Admit(generation("long-2", 10_000, 0), first.Add(100*time.Millisecond)))
	c.ObserveToken("long-1", first.Add(500*time.Millisecond))
	require.True(t, c.Admit(generation("long-2", 10_000, 0), first.Add(700*time.Millisecond)))
	c.Finish("long-2", false, first.Add(800*time.Millisecond))
	c.ObserveToken("long-1", first.Add(900*time.Millisecond))
	require.True(t, c.Admit(generation("long-3", 10_000, 0), first.Add(1100*time.Millisecond)))
}

// Guards against a plain service that stays at its cold limit, and against one
// that has no slow start.
func TestPlainServiceRampsUpByCompletedCalls(t *testing.T) {
	c := New(fleet.DefaultPolicy(), 64, 0, start)
	require.Equal(t, 4, c.Limit(start))
	now := start
	oldest, newest := 0, 0
	for range 500 {
		for c.Admit(work.Work{ID: fmt.Sprint(newest)}, now) {
			newest++
		}
		now = now.Add(10 * time.Millisecond)
		c.Finish(fmt.Sprint(oldest), true, now)
		oldest++
	}
	require.Equal(t, 64, c.Limit(now))
}

// Guards against early rejection because of a wrong estimate: the wait is zero
// while the limit allows more attempts, and grows with the position in the
// queue.
func TestWaitGrowsWithPosition(t *testing.T) {
	c := New(policyWith(func(*fleet.Policy) {}), 2, 0, start)
	require.Zero(t, c.EstimateWait(0, start))
	now := start.Add(time.Second)
	require.True(t, c.Admit(work.Work{ID: "1"}, start))
	require.True(t, c.Admit(work.Work{ID: "2"}, start))
	c.Finish("1", true, now)
	c.Finish("2", true, now)
	require.True(t, c.Admit(work.Work{ID: "3"}, now))
	require.Zero(t, c.EstimateWait(0, now))
	require.True(t, c.Admit(work.Work{ID: "4"}, now))
	require.Equal(t, 500*time.Millisecond, c.EstimateWait(0, now))
	require.Equal(t, 2*time.Second, c.EstimateWait(3, now))
}

func BenchmarkAdmitTokensFinish(b *testing.B) {
	c := New(policyWith(func(p *fleet.Policy) { p.MemoryBudget = true; p.StepLimit = true }), 64, 1_000_000, start)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		c.Admit(generation("1", 100, 0), now)
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			c.ObserveToken("1", now)
		}
		c.Finish("1", true, now)
	}
}

// Guards against a published concurrency bound that takes effect only after a
// restart.
func TestSetPolicyAppliesWithoutRestart(t *testing.T) {
	c := New(policyWith(func(*fleet.Policy) {}), 8, 0, start)
	require.Equal(t, 8, c.Limit(start))
	c.SetPolicy(policyWith(func(*fleet.Policy) {}), 2)
	require.Equal(t, 2, c.Limit(start))
	c.SetPolicy(policyWith(func(p *fleet.Policy) { p.SlowStart = true }), 160)
	require.Equal(t, 4, c.Limit(start), "a raised bound starts from the limit of a cold upstream")
}
