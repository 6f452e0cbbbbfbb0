package pace

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

const pollInterval = 15 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine simulates runs that make an event every eventTime, each with a phase of
// its own.
type engine struct {
	now       time.Time
	eventTime time.Duration
	// progress is the number of events that a run has made since the start.
	progress float64
	phases   []float64
	waiting  int
}

func newEngine(runs int, eventTime time.Duration) *engine {
	random := rand.New(rand.NewPCG(1, 2))
	e := &engine{now: start, eventTime: eventTime}
	for range runs {
		e.phases = append(e.phases, random.Float64())
	}
	return e
}

// report advances the engine by one poll and returns its report.
func (e *engine) report() directory.Report {
	e.now = e.now.Add(pollInterval)
	e.progress += float64(pollInterval) / float64(e.eventTime)
	r := directory.Report{Incarnation: 1, Waiting: e.waiting}
	for i, phase := range e.phases {
		r.Runs = append(r.Runs, directory.Run{ID: strconv.Itoa(i), Events: int(e.progress + phase)})
	}
	return r
}

// observe lets the estimator poll the engine for the given time.
func (e *engine) observe(estimator *Estimator, duration time.Duration) {
	for end := e.now.Add(duration); e.now.Before(end); {
		estimator.Observe(e.report(), e.now)
	}
}

// requireEventTime fails if the estimate is off by more than 8%: an event is seen up
// to 15 ms late, in a span of 200 ms.
func requireEventTime(t require.TestingT, want time.Duration, got Estimate) {
	require.InEpsilon(t, want.Seconds(), got.EventTime.Seconds(), 0.08)
}

// Guards against an event time that is rounded to polls: an engine with 36 ms would
// count as one with 30 or 45 ms.
func TestEventTimeIsNotBiasedByPolling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eventTime := time.Duration(rapid.Int64Range(int64(7*time.Millisecond), int64(150*time.Millisecond)).Draw(t, "event"))
		e, estimator := newEngine(rapid.IntRange(1, 24).Draw(t, "runs"), eventTime), New()
		e.observe(estimator, 1500*time.Millisecond)
		requireEventTime(t, eventTime, estimator.Estimate(e.now))
	})
}

// Guards against requests that go on to an engine for seconds after it has become
// 2.5 times slower, which such engines are for 0.6 s.
func TestSuddenRiseShowsWithinHalfASecond(t *testing.T) {
	for _, runs := range []int{1, 3, 24} {
		e, estimator := newEngine(runs, 28*time.Millisecond), New()
		e.observe(estimator, 3*time.Second)
		e.eventTime = 70 * time.Millisecond
		e.observe(estimator, 500*time.Millisecond)
		require.Greater(t, estimator.Estimate(e.now).EventTime, 50*time.Millisecond, "%d runs", runs)
	}
}

// Guards against the time of a prefill counting as time between events: an engine
// that gets many prompts would look slow.
func TestPrefillIsNotMeasured(t *testing.T) {
	e, estimator := newEngine(8, 30*time.Millisecond), New()
	e.observe(estimator, 300*time.Millisecond)
	e.waiting, e.eventTime = 1, 90*time.Millisecond
	e.observe(estimator, 400*time.Millisecond)
	requireEventTime(t, 30*time.Millisecond, estimator.Estimate(e.now))
	e.waiting, e.eventTime = 0, 30*time.Millisecond
	e.observe(estimator, 200*time.Millisecond)
	requireEventTime(t, 30*time.Millisecond, estimator.Estimate(e.now))
}

// Guards against requests that go to an engine because of an old pace: an engine
// without runs keeps its event time for 10 s, and a new incarnation has none.
func TestWhenTheEventTimeIsUnknown(t *testing.T) {
	measured := func() (*engine, *Estimator) {
		e, estimator := newEngine(4, 30*time.Millisecond), New()
		e.observe(estimator, time.Second)
		requireEventTime(t, 30*time.Millisecond, estimator.Estimate(e.now))
		return e, estimator
	}
	cases := []struct {
		name   string
		change func(e *engine, estimator *Estimator)
		want   bool
	}{
		{"an engine without runs keeps its event time for 10 s", func(e *engine, estimator *Estimator) {
			e.phases = nil
			e.observe(estimator, 9*time.Second)
		}, true},
		{"a value over 10 s old describes another load", func(e *engine, estimator *Estimator) {
			e.phases = nil
			e.observe(estimator, 11*time.Second)
		}, false},
		{"a new incarnation may run on another machine", func(e *engine, estimator *Estimator) {
			r := e.report()
			r.Incarnation = 2
			estimator.Observe(r, e.now)
		}, false},
	}
	for _, c := range cases {
		e, estimator := measured()
		c.change(e, estimator)
		got := estimator.Estimate(e.now)
		require.Equal(t, c.want, got.EventTime > 0, c.name)
		require.LessOrEqual(t, got.Age, 10*time.Second, c.name)
	}
	require.Zero(t, New().Estimate(start))
}

// Guards against few intervals deciding: a single late poll would make an engine
// look slow.
func TestFewIntervalsAreUnknown(t *testing.T) {
	e, estimator := newEngine(1, 60*time.Millisecond), New()
	e.observe(estimator, 300*time.Millisecond)
	require.Zero(t, estimator.Estimate(e.now).EventTime)
	e.observe(estimator, 200*time.Millisecond)
	require.NotZero(t, estimator.Estimate(e.now).EventTime)
}

// Guards against reports that say nothing about pace being measured: a prompt may
// delay the runs, or an engine counts what cannot be.
func TestReportsWithoutPaceAreNotMeasured(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		waiting  func(i int) int
		runs     func(i int) []directory.Run
	}{
		{name: "a prompt may have been in prefill between reports that are far apart", interval: 150 * time.Millisecond},
		{name: "reports out of order have no time between them", interval: -pollInterval},
		{name: "a prompt is in prefill at every report", interval: pollInterval, waiting: func(int) int { return 1 }},
		{name: "a prompt is in prefill at every fifth report", interval: pollInterval, waiting: func(i int) int { return max(0, i%5-3) }},
		{name: "the count of events leaps", interval: pollInterval, runs: func(i int) []directory.Run {
			return []directory.Run{{ID: "a", Events: 1000 * i}}
		}},
		{name: "the count of events falls", interval: pollInterval, runs: func(i int) []directory.Run {
			return []directory.Run{{ID: "a", Events: 1000 - i}}
		}},
		{name: "two runs have the same identifier", interval: pollInterval, runs: func(i int) []directory.Run {
			return []directory.Run{{ID: "a", Events: 10 + i}, {ID: "a", Events: 11 + i}}
		}},
	}
	for _, c := range cases {
		estimator := New()
		for i := range 100 {
			r := directory.Report{Runs: []directory.Run{{ID: "a", Events: i}}}
			if c.waiting != nil {
				r.Waiting = c.waiting(i)
			}
			if c.runs != nil {
				r.Runs = c.runs(i)
			}
			now := start.Add(time.Duration(i) * c.interval)
			estimator.Observe(r, now)
			require.Zero(t, estimator.Estimate(now), c.name)
		}
	}
}

// Guards against an event time from impossible reports: counts that fall or leap,
// repeated identifiers and huge numbers beside runs that are reported properly.
func TestOddRunsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, estimator := newEngine(2, 40*time.Millisecond), New()
		counts := rapid.SampledFrom([]int{0, 1000, 1 << 31, math.MaxInt, math.MinInt, -1})
		ids := rapid.SampledFrom([]string{"x", "y", "", "z"})
		for range 100 {
			r := e.report()
			for range rapid.IntRange(0, 3).Draw(t, "odd") {
				r.Runs = append(r.Runs, directory.Run{ID: ids.Draw(t, "id"), Events: counts.Draw(t, "events")})
			}
			estimator.Observe(r, e.now)
		}
		requireEventTime(t, 40*time.Millisecond, estimator.Estimate(e.now))
	})
}

// Guards against memory that grows with the number of runs served: a span remains
// only while the engine reports its run.
func TestEndedRunsAreForgotten(t *testing.T) {
	estimator := New()
	for i := range 1000 {
		run := directory.Run{ID: strconv.Itoa(i), Events: i}
		estimator.Observe(directory.Report{Runs: []directory.Run{run}}, start.Add(time.Duration(i)*pollInterval))
		require.LessOrEqual(t, len(estimator.spans), 1)
	}
}

func BenchmarkObserve(b *testing.B) {
	e, estimator := newEngine(24, 28*time.Millisecond), New()
	reports := make([]directory.Report, 1000)
	for i := range reports {
		reports[i] = e.report()
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(pollInterval)
		estimator.Observe(reports[i%len(reports)], now)
		estimator.Estimate(now)
	}
}
