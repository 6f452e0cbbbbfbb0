package outputlength

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against lengths without a bucket and against overlapping buckets.
func TestBucketsCoverLengths(t *testing.T) {
	for n := 1; n <= MaxTokens; n++ {
		b := bucketOf(n)
		require.GreaterOrEqual(t, upperBound(b), n)
		if b > 0 {
			require.Less(t, upperBound(b-1), n+1)
		}
	}
}

// Guards against an estimate that decreases as the quantile increases, is not
// positive, or fails on input out of range.
func TestRemainingIsMonotonicInQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		for range rapid.IntRange(0, 600).Draw(t, "observations") {
			e.Observe("a", "m", rapid.IntRange(-1, 100_000).Draw(t, "tokens"), rapid.Bool().Draw(t, "complete"))
		}
		generated := rapid.IntRange(0, 100_000).Draw(t, "generated")
		last := 0
		for _, q := range []float64{0, 0.5, 0.8, 0.95, 0.99, 1} {
			n := e.Remaining("a", "m", generated, q)
			require.Positive(t, n)
			require.GreaterOrEqual(t, n, last)
			last = n
		}
	})
}

// Guards against a prior so short that the outputs of an unknown account exceed
// block memory.
func TestPriorExpectsLongOutputs(t *testing.T) {
	e := New()
	require.GreaterOrEqual(t, e.Remaining("a", "m", 0, 0.8), 1024)
	require.GreaterOrEqual(t, e.Remaining("a", "m", 4096, 0.8), 4096)
}

// Guards against an estimate that differs much from the true quantile of the
// remaining output, at the start and after many tokens.
func TestRemainingMatchesDistribution(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	e := New()
	lengths := make([]int, 0, 5000)
	for range 5000 {
		n := 1 + int(math.Exp(5.3+random.NormFloat64()))
		lengths = append(lengths, n)
		e.Observe("a", "m", n, true)
	}
	for _, generated := range []int{0, 100, 300} {
		want := trueQuantile(lengths, generated, 0.8)
		got := e.Remaining("a", "m", generated, 0.8)
		require.InEpsilon(t, want, got, 0.35, "after %d tokens", generated)
	}
}

// Guards against cancelled outputs that are counted as short ones.
func TestTruncatedOutputsCountAsLonger(t *testing.T) {
	truncated, completed := New(), New()
	for range 50 {
		truncated.Observe("a", "m", 100, false)
		completed.Observe("a", "m", 100, true)
	}
	require.Less(t, completed.Remaining("a", "m", 0, 0.8), 200)
	require.Greater(t, truncated.Remaining("a", "m", 0, 0.8), 1000)
}

// Guards against an estimate for one account that is dominated by the outputs
// of others, and against a new account that ignores the counts of the model.
func TestAccountsAreEstimatedSeparately(t *testing.T) {
	e := New()
	for range 200 {
		e.Observe("short", "m", 20, true)
		e.Observe("long", "m", 8000, true)
	}
	require.Less(t, e.Remaining("short", "m", 0, 0.8), 100)
	require.Greater(t, e.Remaining("long", "m", 0, 0.8), 6000)
	require.Greater(t, e.Remaining("new", "m", 0, 0.8), 6000)
}

// Guards against memory that grows with the number of accounts ever seen.
func TestAccountsAreBounded(t *testing.T) {
	e := New()
	for i := range maxAccounts + 100 {
		e.Observe(string(rune('a'+i%26))+string(rune(i)), "m", 10, true)
	}
	require.LessOrEqual(t, len(e.accounts), maxAccounts)
}

func trueQuantile(lengths []int, generated int, q float64) int {
	var remaining []int
	for _, n := range lengths {
		if n > generated {
			remaining = append(remaining, n-generated)
		}
	}
	slices.Sort(remaining)
	return remaining[int(q*float64(len(remaining)))]
}

func BenchmarkRemaining(b *testing.B) {
	e := New()
	for i := range 500 {
		e.Observe("a", "m", 1+i*7%3000, true)
	}
	b.ReportAllocs()
	for b.Loop() {
		e.Remaining("a", "m", 50, 0.95)
	}
}
