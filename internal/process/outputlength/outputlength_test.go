package outputlength

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against buckets that lose a length or are out of order.
func TestBucketsCoverLengths(t *testing.T) {
	for n := 1; n <= MaxTokens; n++ {
		b := bucketOf(n)
		require.GreaterOrEqual(t, upper(b), n)
		if b > 0 {
			require.Less(t, upper(b-1), n+1)
		}
	}
}

// Guards against an estimate that shrinks with the quantile, is not positive,
// or fails on odd input.
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

// Guards against a prior that lets an unknown account's outputs overrun block
// memory.
func TestPriorIsSafe(t *testing.T) {
	e := New()
	require.GreaterOrEqual(t, e.Remaining("a", "m", 0, 0.8), 1024)
	require.GreaterOrEqual(t, e.Remaining("a", "m", 4096, 0.8), 4096)
}

// Guards against an estimate far from the true quantile of the remaining
// output, at the start and after many tokens.
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

// Guards against cancelled outputs that are taken for short ones.
func TestCutOutputsCountAsLonger(t *testing.T) {
	cut, ended := New(), New()
	for range 50 {
		cut.Observe("a", "m", 100, false)
		ended.Observe("a", "m", 100, true)
	}
	require.Less(t, ended.Remaining("a", "m", 0, 0.8), 200)
	require.Greater(t, cut.Remaining("a", "m", 0, 0.8), 1000)
}

// Guards against an account that is charged for the outputs of others, and
// against a new account that starts without what is known of the model.
func TestAccountsAreToldApart(t *testing.T) {
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
	for i := range maxCurves + 100 {
		e.Observe(string(rune('a'+i%26))+string(rune(i)), "m", 10, true)
	}
	require.LessOrEqual(t, len(e.accounts), maxCurves)
}

func trueQuantile(lengths []int, generated int, q float64) int {
	var rest []int
	for _, n := range lengths {
		if n > generated {
			rest = append(rest, n-generated)
		}
	}
	slices.Sort(rest)
	return rest[int(q*float64(len(rest)))]
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
