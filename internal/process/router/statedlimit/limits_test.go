package statedlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	upstream = Upstream{ID: "u", Incarnation: 1}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func all(Upstream) bool { return true }

// Guards against a limit that an answer from before it lifts, and one that stays although answers no longer state it.
func TestOnlyLaterAnswersLiftALimit(t *testing.T) {
	var changes []Limit
	l := New(all, func(c Limit) { changes = append(changes, c) })
	l.Observe(Statement{Upstream: upstream, SentAt: at(0)}, at(10))
	require.Empty(t, changes, "an answer without a limit changes nothing")
	l.Observe(Statement{Upstream: upstream, Limited: true, PerSecond: 4.1, SentAt: at(0)}, at(20))
	l.Observe(Statement{Upstream: upstream, Limited: true, PerSecond: 4.1, SentAt: at(25)}, at(30))
	l.Observe(Statement{Upstream: upstream, SentAt: at(29)}, at(40))
	require.Equal(t, []Limit{{Upstream: upstream, Limited: true, PerSecond: 4.1, Version: 1}}, changes)
	l.Observe(Statement{Upstream: upstream, SentAt: at(30)}, at(50))
	require.Equal(t, Limit{Upstream: upstream, Version: 2}, changes[1])
}

// Guards against routers that keep different limits, whichever of them reads or hears of a change first.
func TestRoutersAgreeOnTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]*Limits, 4)
		for i := range routers {
			routers[i] = New(all, func(Limit) {})
		}
		now := 0
		last := Statement{Upstream: upstream}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(1, 700).Draw(t, "ms")
			if rapid.Bool().Draw(t, "change") {
				last.Limited = rapid.Bool().Draw(t, "limited")
				last.PerSecond = 0
				if last.Limited {
					last.PerSecond = float64(rapid.IntRange(1, 5).Draw(t, "per second"))
				}
			}
			last.SentAt = at(now)
			routers[rapid.IntRange(0, 3).Draw(t, "reader")].Observe(last, at(now))
			shared, _ := routers[rapid.IntRange(0, 3).Draw(t, "from")].Shared()
			routers[rapid.IntRange(0, 3).Draw(t, "to")].Merge(shared, at(now))
		}
		now += int(ownStatementPeriod.Milliseconds())
		last.SentAt = at(now)
		for range 2 {
			for _, reader := range routers {
				reader.Observe(last, at(now))
				shared, _ := reader.Shared()
				for _, other := range routers {
					other.Merge(shared, at(now))
				}
			}
			now += int(ownStatementPeriod.Milliseconds())
			last.SentAt = at(now)
		}
		_, digest := routers[0].Shared()
		for _, r := range routers {
			require.Equal(t, last.Limited, r.Limit(upstream).Limited)
			require.InDelta(t, last.PerSecond, r.Limit(upstream).PerSecond, 0)
			_, d := r.Shared()
			require.Equal(t, digest, d)
		}
	})
}

// Guards against limits of upstreams that have gone being passed between routers for ever.
func TestLimitsOfUnknownUpstreamsAreDropped(t *testing.T) {
	known := true
	l := New(func(Upstream) bool { return known }, func(Limit) {})
	l.Observe(Statement{Upstream: upstream, Limited: true, PerSecond: 2, SentAt: at(0)}, at(1))
	shared, _ := l.Shared()
	require.Len(t, shared, 1)
	known = false
	l.Merge(shared, at(2))
	shared, digest := l.Shared()
	require.Empty(t, shared)
	require.Zero(t, digest)
}

// Guards against sending a limit to all routers with each answer because it varies a little, and against drifting from it.
func TestSmallDeviationsAreNoChange(t *testing.T) {
	changes := 0
	l := New(all, func(Limit) { changes++ })
	state := func(perSecond float64) float64 {
		l.Observe(Statement{Upstream: upstream, Limited: true, PerSecond: perSecond, SentAt: at(0)}, at(0))
		return l.Limit(upstream).PerSecond
	}
	for _, stated := range []float64{4, 4.1, 3.9, 4.15, 4} {
		require.InDelta(t, 4, state(stated), 0)
	}
	require.Equal(t, 1, changes)
	require.InDelta(t, 4.3, state(4.3), 0)
	require.InDelta(t, 0, state(0), 0)
	require.InDelta(t, 0.1, state(0.1), 0)
	require.Equal(t, 4, changes)
}
