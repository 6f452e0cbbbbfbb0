package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func testEngine(memoryTokens int) *Engine {
	p := DefaultProfile()
	p.MemoryTokens = memoryTokens
	p.CacheEventLoss = 0
	return New(Options{Name: "lm-1", Models: []string{"m"}, Profile: p})
}

func submit(t *testing.T, e *Engine, r Request) *sequence {
	t.Helper()
	s, err := e.submit(r, start)
	require.NoError(t, err)
	return s
}

// steps runs n steps and returns the sum of their durations.
func steps(e *Engine, n int) time.Duration {
	var total time.Duration
	for range n {
		total += e.beginStep(start)
		e.endStep(start)
	}
	return total
}

// Guards against sequences that run one after the other instead of sharing steps.
func TestSequencesShareSteps(t *testing.T) {
	e := testEngine(1600)
	a := submit(t, e, Request{ID: "a", Prompt: "first", MaxTokens: 10})
	steps(e, 4)
	b := submit(t, e, Request{ID: "b", Prompt: "second", MaxTokens: 3})
	steps(e, 3)
	require.Equal(t, 7, a.generated)
	require.Equal(t, 3, b.generated)
	require.False(t, b.finished.IsZero())
	require.True(t, a.finished.IsZero())
}

// Guards against a step time that ignores the length of prompt or context.
func TestStepTimeGrowsWithWork(t *testing.T) {
	e := testEngine(1600)
	submit(t, e, Request{ID: "a", Prompt: strings.Repeat("word", 500), MaxTokens: 100})
	prefill := steps(e, 1)
	decode := steps(e, 1)
	p := e.options.Profile
	require.Equal(t, p.stepTime(1, 500, 500, false), prefill)
	require.Equal(t, p.stepTime(1, 501, 0, false), decode)
}

// Guards against more allocated blocks than the capacity, and against a preempted
// sequence that loses or repeats tokens.
func TestFullMemoryPreemptsLatestSequence(t *testing.T) {
	e := testEngine(10 * blockTokens)
	a := submit(t, e, Request{ID: "a", Prompt: strings.Repeat("a", 128), MaxTokens: 100})
	b := submit(t, e, Request{ID: "b", Prompt: strings.Repeat("b", 128), MaxTokens: 100})
	for a.finished.IsZero() || b.finished.IsZero() {
		before := b.generated
		steps(e, 1)
		require.LessOrEqual(t, b.generated, before+1)
		require.GreaterOrEqual(t, b.generated, before)
		require.LessOrEqual(t, e.memory.private+len(e.memory.shared), e.memory.capacity)
	}
	require.Positive(t, e.preemptions)
	require.Zero(t, e.memory.private)
	require.Equal(t, 100, a.generated)
	require.Equal(t, 100, b.generated)
}

// Guards against a prefix cache that never hits, or that evicts nothing when the
// memory is full.
func TestPrefixCacheSavesPrefillAndEvicts(t *testing.T) {
	e := testEngine(20 * blockTokens)
	prompt := strings.Repeat("p", 10*blockTokens*bytesPerToken)
	submit(t, e, Request{ID: "a", Prompt: prompt, MaxTokens: 1})
	first := steps(e, 1)
	submit(t, e, Request{ID: "b", Prompt: prompt, MaxTokens: 1})
	require.Less(t, steps(e, 1), first)
	submit(t, e, Request{ID: "c", Prompt: strings.Repeat("q", 18*blockTokens*bytesPerToken), MaxTokens: 1})
	steps(e, 1)
	submit(t, e, Request{ID: "d", Prompt: prompt, MaxTokens: 1})
	require.Equal(t, first, steps(e, 1))
}

// Guards against priorities that have no effect.
func TestLowerPriorityValueIsServedFirst(t *testing.T) {
	e := testEngine(1600)
	e.options.Profile.MaxSequences = 1
	low := submit(t, e, Request{ID: "a", Prompt: "a", Priority: 5, MaxTokens: 1})
	high := submit(t, e, Request{ID: "b", Prompt: "b", Priority: 1, MaxTokens: 1})
	steps(e, 1)
	require.Equal(t, 1, high.generated)
	require.Zero(t, low.generated)
}

// Guards against a cold engine that warms up although it is overloaded, or that
// does not warm up under low load.
func TestColdEngineWarmsUpOnlyUnderLowLoad(t *testing.T) {
	e := testEngine(16_000)
	e.inject(fault{Cold: true})
	for i := range 40 {
		submit(t, e, Request{ID: string(rune('a' + i)), Prompt: "p", MaxTokens: 3000})
	}
	overloaded := steps(e, 1000) / 1000
	require.True(t, e.state().Cold)
	for i := range 38 {
		e.cancel(string(rune('a'+i)), start)
	}
	steps(e, 1000)
	require.False(t, e.state().Cold)
	require.Greater(t, overloaded, 10*steps(e, 1))
}

// Guards against a cancelled sequence that keeps its memory or continues.
func TestCancelFreesMemory(t *testing.T) {
	e := testEngine(1600)
	s := submit(t, e, Request{ID: "a", Prompt: "a", MaxTokens: 100})
	steps(e, 2)
	require.True(t, e.cancel("a", start))
	require.False(t, e.cancel("other", start))
	steps(e, 2)
	require.Equal(t, 2, s.generated)
	require.Zero(t, e.memory.usedFraction())
}

// Guards against metrics without lag: readers would then rely on current values.
func TestMetricsLag(t *testing.T) {
	e := testEngine(1600)
	e.record(start)
	submit(t, e, Request{ID: "a", Prompt: "a", MaxTokens: 100})
	e.beginStep(start.Add(100 * time.Millisecond))
	require.Zero(t, e.laggedReport(start.Add(900*time.Millisecond)).running)
	require.Equal(t, 1, e.laggedReport(start.Add(1200*time.Millisecond)).running)
}

// Guards against cache events that are visible at once, and against a lost event
// that leaves no gap in the sequence numbers.
func TestCacheEventsLagAndLeaveGaps(t *testing.T) {
	e := testEngine(1600)
	e.publish(cacheEvent{Action: "stored"})
	e.options.Profile.CacheEventLoss = 1
	e.publish(cacheEvent{Action: "stored"})
	e.options.Profile.CacheEventLoss = 0
	e.publish(cacheEvent{Action: "stored"})
	require.Empty(t, e.eventsAfter(0, time.Now()))
	found := e.eventsAfter(0, time.Now().Add(time.Minute))
	require.Len(t, found, 2)
	require.Equal(t, uint64(3), found[1].Seq)
}
