package ramp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Guards against a limit that rises before the upstream is warm, rises by more
// than completed work justifies, counts work that started before a reset, or is
// outside its bounds.
func TestLimitFollowsCompletedWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxLimit := rapid.IntRange(1, 200).Draw(t, "max limit")
		warmUpUnits := rapid.Float64Range(0, 20).Draw(t, "warm-up units")
		now := start
		r := New(maxLimit, warmUpUnits, now)
		oldEpoch := uint64(0)
		completed, warm := 0.0, warmUpUnits == 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				oldEpoch = r.Epoch()
				r.Reset(now)
				completed, warm = 0, warmUpUnits == 0
			case 1:
				r.SetWarm()
				warm = true
			case 2:
				r.Complete(100, oldEpoch, maxLimit, now)
			default:
				units := rapid.Float64Range(0, 3).Draw(t, "units")
				r.Complete(units, r.Epoch(), rapid.IntRange(0, maxLimit).Draw(t, "running"), now)
				completed += units
			}
			limit := r.Limit(now)
			require.GreaterOrEqual(t, limit, 1)
			require.LessOrEqual(t, limit, maxLimit)
			require.LessOrEqual(t, float64(limit), float64(r.ColdLimit())+growthPerUnit*completed)
			if !warm && completed < warmUpUnits {
				require.Equal(t, r.ColdLimit(), limit)
			}
		}
	})
}

// Guards against a slow start that never ends.
func TestBusyUpstreamReachesFullLimit(t *testing.T) {
	r := New(64, 10, start)
	units := 0
	for r.Limit(start) < 64 {
		r.Complete(1, r.Epoch(), r.Limit(start), start)
		units++
		require.Less(t, units, 200)
	}
}

// Guards against full load on an upstream that may have become cold while it
// was idle or this process was paused.
func TestLimitDecaysWithoutCompletedWork(t *testing.T) {
	r := New(64, 0, start)
	for range 200 {
		r.Complete(1, r.Epoch(), 64, start)
	}
	require.Equal(t, 64, r.Limit(start.Add(29*time.Second)))
	require.Equal(t, 32, r.Limit(start.Add(31*time.Second)))
	require.Equal(t, 4, r.Limit(start.Add(time.Hour)))
}

// Guards against a limit that rises although it is not used: work at a low
// concurrency is no evidence for a higher one.
func TestLimitDoesNotRiseAtLowConcurrency(t *testing.T) {
	r := New(64, 0, start)
	for range 100 {
		r.Complete(1, r.Epoch(), 1, start)
	}
	require.Equal(t, 4, r.Limit(start))
}

func BenchmarkComplete(b *testing.B) {
	r := New(64, 0, start)
	b.ReportAllocs()
	for b.Loop() {
		r.Complete(1.0/64, r.Epoch(), 40, start)
	}
}
