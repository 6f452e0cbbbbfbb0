package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against retries that multiply the load on a failing upstream: they
// never exceed the initial balance plus a tenth of the successes.
func TestRetriesAreLimitedToFractionOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		successes, retries := 0, 0
		for range 300 {
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess()
				successes++
			} else if b.TryRetry() {
				retries++
			}
			require.LessOrEqual(t, float64(retries), maxBalance+retriesPerSuccess*float64(successes)+1e-6)
		}
	})
}

// Guards against a balance that grows without bound and is spent in one burst,
// and against a budget that never recovers.
func TestBudgetIsBoundedAndRecovers(t *testing.T) {
	b := New()
	for range 1000 {
		b.RecordSuccess()
	}
	spent := 0
	for b.TryRetry() {
		spent++
	}
	require.Equal(t, maxBalance, spent)
	for range 11 {
		b.RecordSuccess()
	}
	require.True(t, b.TryRetry())
	require.False(t, b.TryRetry())
}

func BenchmarkRecordSuccessTryRetry(b *testing.B) {
	budget := New()
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordSuccess()
		budget.TryRetry()
	}
}
