package retrywindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against routers that together retry more requests than the bound
// allows, although each router knows only its own requests.
func TestRoutersTogetherStayWithinBound(t *testing.T) {
	bound := Bound{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "routers")
		budgets := make([]*Budget, count)
		for i := range budgets {
			budgets[i] = New(bound, func() int { return count })
		}
		requests, retries := 0, 0
		now := start
		for range 600 {
			// All steps are within one window.
			now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, count-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("desk", now)
				requests++
			} else if b.TryRetry("desk", now) {
				retries++
			}
		}
		require.LessOrEqual(t, float64(retries), bound.Ratio*float64(requests)+bound.Slack)
	})
}

// Guards against a budget that never recovers, and against a budget that is
// shared between services.
func TestBudgetRecoversAndIsSeparateByService(t *testing.T) {
	b := New(Bound{Ratio: 0, Slack: 40, Window: time.Second}, func() int { return 1 })
	spent := 0
	for b.TryRetry("desk", start) {
		spent++
	}
	require.Positive(t, spent)
	require.True(t, b.TryRetry("lm", start))
	require.False(t, b.TryRetry("desk", start.Add(500*time.Millisecond)))
	require.True(t, b.TryRetry("desk", start.Add(1200*time.Millisecond)))
}
