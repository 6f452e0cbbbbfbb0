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

func generation(id string, prompt, most int) work.Work {
	return work.Work{ID: id, Account: "a", Weight: 1, Model: "m", PromptTokens: prompt, MaxTokens: most}
}

// only returns a policy without mechanisms but those that enable switches on.
func only(enable func(p *fleet.Policy)) fleet.Policy {
	policy := fleet.Policy{LengthQuantile: 0.8, TargetStepMillis: 76}
	enable(&policy)
	return policy
}

// engine is a fake that gives each running generation one token a step. While
// it is cold its steps are slow, and above four generations far slower without
// progress to the warm state.
type engine struct {
	controller *Controller
	now        time.Time
	// warmUp is the number of tokens until the engine is warm.
	warmUp    int
	remaining map[string]int
	next      int
	// highestCold is the largest batch while cold.
	highestCold int
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

// run admits all it can and makes steps for the given time.
func (e *engine) run(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); {
		for e.controller.Admit(generation(fmt.Sprint(e.next), 100, 0), e.now) {
			e.remaining[fmt.Sprint(e.next)] = 50 + e.next*37%200
			e.next++
		}
		e.now = e.now.Add(e.step())
		if e.warmUp > 0 {
			e.highestCold = max(e.highestCold, len(e.remaining))
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
	e.controller.Token(id, e.now)
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

// Guards against a cold engine that gets more than it can bear, a warm one that
// is never filled, and a step time above the bound.
func TestColdEngineIsFilledOnlyOnceWarm(t *testing.T) {
	for _, warmUp := range []int{0, 300, 1500} {
		e := newEngine(fleet.DefaultPolicy(), warmUp)
		e.run(2 * time.Minute)
		require.LessOrEqual(t, e.highestCold, 4)
		require.LessOrEqual(t, e.warmUp, 0)
		require.LessOrEqual(t, e.step(), 76*time.Millisecond)
		require.Greater(t, len(e.remaining), 80)
	}
}

// Guards against an engine that turns cold without warning and keeps its load.
func TestUnannouncedColdTurnLowersLoad(t *testing.T) {
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

// Guards against a limit that calls from several goroutines exceed.
func TestConcurrentAdmitKeepsLimit(t *testing.T) {
	c := New(only(func(*fleet.Policy) {}), 10, 0, start)
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

// Guards, for any order of calls, against more work than the limits allow and
// against reservations that are not given back.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := rapid.IntRange(1, 80).Draw(t, "concurrency")
		capacity := rapid.SampledFrom([]int{0, 2000, 16_000}).Draw(t, "memory")
		c := New(fleet.DefaultPolicy(), full, capacity, start)
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
					c.Token(rapid.SampledFrom(ids).Draw(t, "id"), now)
				}
			case 4:
				if len(ids) > 0 {
					c.Finish(rapid.SampledFrom(ids).Draw(t, "id"), rapid.Bool().Draw(t, "completed"), now)
				}
			case 5:
				c.ObserveEngine(rapid.Float64Range(-1, 2).Draw(t, "used"), rapid.Uint64Range(0, 9).Draw(t, "preemptions"), now)
			case 6:
				c.Restart(now)
				require.LessOrEqual(t, c.Limit(now), c.ramp.Cold())
			}
			require.GreaterOrEqual(t, c.FreeMemory(), 0.0)
			require.LessOrEqual(t, c.FreeMemory(), 1.0)
			require.GreaterOrEqual(t, c.Wait(3, now), time.Duration(0))
		}
		for _, id := range ids {
			c.Finish(id, false, now)
		}
		require.Zero(t, c.Running())
		require.Zero(t, c.memory.held)
		require.Zero(t, c.steps.decoding)
	})
}

// requireFits follows the growth of all generations token by token.
func requireFits(t *rapid.T, c *Controller) {
	for grown := 0; ; grown++ {
		occupied, left := 0, false
		for _, p := range c.running {
			if rest := p.length - p.generated; rest >= grown || grown == 0 {
				occupied += p.held() + grown
				left = left || rest > grown
			}
		}
		require.LessOrEqual(t, occupied, c.memory.usable())
		if !left {
			return
		}
	}
}

// Guards against work that is started after its deadline by a process that was
// paused between reading the clock and asking.
func TestPausedCallerCannotAdmitLateWork(t *testing.T) {
	c := New(only(func(*fleet.Policy) {}), 10, 0, start)
	late := work.Work{ID: "late", Deadline: start.Add(time.Second)}
	require.False(t, c.Admit(late, start.Add(2*time.Second)))
	c.Limit(start.Add(2 * time.Second))
	require.False(t, c.Admit(late, start), "the clock was read before the pause")
}

// Guards against an engine that turns cold at a low load, where its steps do
// not stop, and gets more work before it is warm again.
func TestUnannouncedColdTurnAtLowLoad(t *testing.T) {
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
			e.controller.Token(id, e.now)
		}
	}
	require.EqualValues(t, 1, e.controller.Resets())
	require.Equal(t, 4, e.controller.Limit(e.now))
}

// Guards against new work for an engine whose tokens have stopped, against
// connections that went silent stopping admission for good, and against a pause
// of this process that is taken for a cold turn.
func TestOverdueTokensStopAdmission(t *testing.T) {
	c := New(only(func(p *fleet.Policy) { p.StepLimit = true }), 10, 0, start)
	require.True(t, c.Admit(generation("1", 10, 0), start))
	c.Token("1", start)
	require.False(t, c.Admit(generation("2", 10, 0), start.Add(2*time.Second)))
	require.False(t, c.Admit(generation("3", 10, 0), start.Add(10*time.Second)))
	require.Zero(t, c.Resets())
	for second := range 8 {
		c.Limit(start.Add(time.Duration(10+second) * time.Second))
	}
	require.EqualValues(t, 1, c.Resets())
	require.True(t, c.Admit(generation("4", 10, 0), start.Add(18*time.Second)))
}

// Guards against reservations by the mean, which overrun block memory, and by
// the maximum, which leaves it empty.
func TestMemoryIsReservedByQuantile(t *testing.T) {
	c := New(only(func(p *fleet.Policy) { p.MemoryBudget = true }), 1000, 10_000, start)
	for i := range 100 {
		id := fmt.Sprint("warm-", i)
		require.True(t, c.Admit(generation(id, 10, 100+i%2*300), start))
		for range 100 + i%2*300 {
			c.Token(id, start)
		}
		c.Finish(id, true, start)
	}
	admitted := 0
	for c.Admit(generation(fmt.Sprint(admitted), 100, 4000), start) {
		admitted++
	}
	require.InDelta(t, 10_000/500, admitted, 6)
}

// Guards against one late report that blocks admission, and against use that
// the running work does not explain and that counts as free.
func TestForeignMemoryIsNotFree(t *testing.T) {
	c := New(only(func(p *fleet.Policy) { p.MemoryBudget = true }), 1000, 10_000, start)
	c.ObserveEngine(0.4, 0, start)
	c.ObserveEngine(0, 0, start.Add(time.Second))
	for i := range 2 {
		c.ObserveEngine(0.4, 0, start.Add(time.Duration(2+i)*time.Second))
		require.InDelta(t, 1, c.FreeMemory(), 1e-9)
	}
	c.ObserveEngine(0.4, 0, start.Add(4*time.Second))
	require.InDelta(t, 0.6, c.FreeMemory(), 1e-9)
	c.Limit(start.Add(20 * time.Second))
	require.InDelta(t, 1, c.FreeMemory(), 1e-9, "the report is too old")
}

// Guards against memory left empty because generations that end soon are
// counted at their final size beside new ones.
func TestMemoryCountsThePeak(t *testing.T) {
	demands := []demand{{held: 900, rest: 10}, {held: 100, rest: 500}, {held: 100, rest: 500}}
	require.Equal(t, 1200, peak(demands))
	require.Equal(t, 0, peak(nil))
	require.Equal(t, 1130, peak([]demand{{900, 10}, {100, 20}, {100, 30}}))
}

// Guards against a preemption that does not lower the use of block memory, and
// against an engine's restart that goes unnoticed.
func TestPreemptionsLowerMemoryAndRestartShows(t *testing.T) {
	c := New(fleet.DefaultPolicy(), 64, 10_000, start)
	c.ObserveEngine(0, 5, start)
	require.InDelta(t, 1, c.FreeMemory(), 0.001)
	c.ObserveEngine(0, 6, start.Add(time.Second))
	require.InDelta(t, 0.9, c.FreeMemory(), 0.001)
	require.Zero(t, c.Resets())
	c.ObserveEngine(0, 0, start.Add(2*time.Second))
	require.EqualValues(t, 1, c.Resets())
}

// Guards against long prompts that start together and hold up every running
// generation, and against one that is never allowed again.
func TestLongPrefillsAreSpaced(t *testing.T) {
	c := New(only(func(p *fleet.Policy) { p.StepLimit = true }), 64, 0, start)
	require.True(t, c.Admit(generation("long-1", 10_000, 0), start))
	require.False(t, c.Admit(generation("long-2", 10_000, 0), start))
	require.True(t, c.Admit(generation("short", 100, 0), start))
	first := start.Add(600 * time.Millisecond)
	c.Token("long-1", first)
	require.False(t, c.Admit(generation("long-2", 10_000, 0), first.Add(100*time.Millisecond)))
	c.Token("long-1", first.Add(500*time.Millisecond))
	require.True(t, c.Admit(generation("long-2", 10_000, 0), first.Add(700*time.Millisecond)))
	c.Finish("long-2", false, first.Add(800*time.Millisecond))
	c.Token("long-1", first.Add(900*time.Millisecond))
	require.True(t, c.Admit(generation("long-3", 10_000, 0), first.Add(1100*time.Millisecond)))
}

// Guards against a plain service that stays at its cold limit, or that is not
// protected after its start.
func TestPlainServiceRampsByCalls(t *testing.T) {
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

// Guards against early refusal on a wrong estimate: none while there is room,
// and one that grows with the queue.
func TestWaitGrowsWithPosition(t *testing.T) {
	c := New(only(func(*fleet.Policy) {}), 2, 0, start)
	require.Zero(t, c.Wait(0, start))
	now := start.Add(time.Second)
	require.True(t, c.Admit(work.Work{ID: "1"}, start))
	require.True(t, c.Admit(work.Work{ID: "2"}, start))
	c.Finish("1", true, now)
	c.Finish("2", true, now)
	require.True(t, c.Admit(work.Work{ID: "3"}, now))
	require.Zero(t, c.Wait(0, now))
	require.True(t, c.Admit(work.Work{ID: "4"}, now))
	require.Equal(t, 500*time.Millisecond, c.Wait(0, now))
	require.Equal(t, 2*time.Second, c.Wait(3, now))
}

func BenchmarkAdmitTokensFinish(b *testing.B) {
	c := New(only(func(p *fleet.Policy) { p.MemoryBudget = true; p.StepLimit = true }), 64, 1_000_000, start)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		c.Admit(generation("1", 100, 0), now)
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			c.Token("1", now)
		}
		c.Finish("1", true, now)
	}
}

// Guards against a published bound on concurrency that comes into force only at
// a restart.
func TestPublishedBoundsAreTakenIntoUse(t *testing.T) {
	c := New(only(func(*fleet.Policy) {}), 8, 0, start)
	require.Equal(t, 8, c.Limit(start))
	c.SetPolicy(only(func(*fleet.Policy) {}), 2)
	require.Equal(t, 2, c.Limit(start))
	c.SetPolicy(only(func(p *fleet.Policy) { p.SlowStart = true }), 160)
	require.Equal(t, 4, c.Limit(start), "a raised bound starts from the limit of a cold upstream")
}
