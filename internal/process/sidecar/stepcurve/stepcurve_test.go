package stepcurve

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// train increases the batch as far as the curve allows, with step times from
// the given function, and returns the time of the last sample.
func train(c *Curve, step func(batch int) float64, now time.Time) time.Time {
	batch := 1
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(batch, step(batch), now)
		batch = min(batch+1, c.LargestBatch(256, now))
	}
	return now
}

func linear(base, slope float64) func(int) float64 {
	return func(batch int) float64 { return base + slope*float64(batch) }
}

// Guards against a limit at which the step time exceeds the target, and against
// one that leaves much of the engine unused, also if one step in ten is far too
// slow.
func TestLargestBatchMeetsBoundDespiteOutliers(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	c := New(76)
	step := linear(16, 1)
	now := train(c, func(batch int) float64 {
		if random.IntN(10) == 0 {
			return step(batch) * (2 + 10*random.Float64())
		}
		return step(batch) * (0.97 + 0.06*random.Float64())
	}, start)
	largest := c.LargestBatch(256, now)
	require.LessOrEqual(t, step(largest), 76.0)
	require.GreaterOrEqual(t, largest, 40)
}

// Guards against a line fitted to small batches that underestimates a convex
// step time.
func TestLargestBatchFollowsConvexCurve(t *testing.T) {
	c := New(76)
	step := func(batch int) float64 { return 20 + 0.01*float64(batch*batch) }
	now := train(c, step, start)
	largest := c.LargestBatch(256, now)
	require.LessOrEqual(t, step(largest), 76.0*1.05)
	require.GreaterOrEqual(t, largest, 50)
}

// Guards against a limit outside its bounds for any sequence of samples.
func TestLargestBatchStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(76)
		now := start
		largestSeen := 0
		for range rapid.IntRange(1, 100).Draw(t, "samples") {
			now = now.Add(time.Second)
			batch := rapid.IntRange(-1, 300).Draw(t, "batch")
			c.Observe(batch, rapid.Float64().Draw(t, "ms"), now)
			c.ObserveFirstToken(batch, rapid.IntRange(-1, 1e6).Draw(t, "prompt"), rapid.Float64().Draw(t, "first"), now)
			largestSeen = max(largestSeen, batch)
			largest := c.LargestBatch(256, now)
			require.GreaterOrEqual(t, largest, 1)
			require.LessOrEqual(t, largest, 256)
		}
		if c.line.samples >= minSamples {
			require.LessOrEqual(t, c.LargestBatch(256, now), int(float64(largestSeen)*maxExtrapolation+extrapolationStep))
		}
	})
}

// Guards against an engine that became cold without detection and still gets a
// full batch, and against a reset caused by single slow steps.
func TestColdEngineIsDetected(t *testing.T) {
	c := New(76)
	step := linear(16, 0.5)
	now := train(c, step, start)
	for range 10 {
		require.Equal(t, Steady, c.Observe(40, 10*step(40), now))
		require.Equal(t, Steady, c.Observe(40, step(40), now))
	}
	changes := 0
	for range 5 {
		if c.Observe(40, 2.5*step(40), now) == BecameCold {
			changes++
		}
	}
	require.Positive(t, changes)
}

// Guards against a cold engine that is mistaken for a warm one when its batch
// shrinks or delayed tokens arrive together, and against a warm engine that is
// not detected.
func TestWarmEngineIsDetectedAtEqualLoad(t *testing.T) {
	c := New(76)
	now := start
	for batch := 40; batch > 4; batch-- {
		now = now.Add(time.Second)
		require.NotEqual(t, BecameWarm, c.Observe(batch, 67*float64(batch*batch)/16, now))
	}
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		require.NotEqual(t, BecameWarm, c.Observe(4, 67, now))
	}
	for range 20 {
		require.NotEqual(t, BecameWarm, c.Observe(4, 0.1, now))
	}
	warm := false
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		warm = warm || c.Observe(4, 17, now) == BecameWarm
	}
	require.True(t, warm)
}

// Guards against a cold engine that is missed because only its time to the
// first token increases, and against a reset caused by a few uncached prompts.
func TestSlowFirstTokensIndicateColdEngine(t *testing.T) {
	c := New(76)
	for i := range 32 {
		millis := 100.0
		if i%4 == 0 {
			millis = 400
		}
		require.Equal(t, Steady, c.ObserveFirstToken(8, 500, millis, start))
	}
	for range 10 {
		require.Equal(t, Steady, c.ObserveFirstToken(8, 500, 400, start))
	}
	change := Steady
	for range firstTokenSamples {
		change = c.ObserveFirstToken(8, 500, 3000, start)
	}
	require.Equal(t, BecameCold, change)
}

func BenchmarkObserveAndLargestBatch(b *testing.B) {
	c := New(76)
	step := linear(16, 0.5)
	now := train(c, step, start)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		c.Observe(1+i%60, step(1+i%60), now)
		c.LargestBatch(256, now)
	}
}
