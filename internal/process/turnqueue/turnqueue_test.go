package turnqueue

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two copies at once over one link, and against granting turns in
// the order of arrival instead of by priority.
func TestTurnsAreGrantedOneAtATimeByPriority(t *testing.T) {
	q := New()
	require.True(t, q.Acquire(t.Context(), Request{ID: "first", Priority: 1}))
	order := make(chan string, 3)
	for i, id := range []string{"small", "large", "middle"} {
		priority := []float64{1, 3, 2}[i]
		go func() {
			require.True(t, q.Acquire(t.Context(), Request{ID: id, Priority: priority}))
			order <- id
		}()
	}
	require.Eventually(t, func() bool { return q.Waiting() == 3 }, time.Second, time.Millisecond)
	require.Empty(t, order)
	previous := "first"
	for _, want := range []string{"large", "middle", "small"} {
		q.Release(previous)
		require.Equal(t, want, <-order)
		require.Empty(t, order)
		previous = want
	}
}

// Guards against a router that crashes during its turn and blocks all others.
func TestTurnEndsAfterMaxTurnTime(t *testing.T) {
	q := New()
	require.True(t, q.Acquire(t.Context(), Request{ID: "dead"}))
	start := time.Now()
	require.True(t, q.Acquire(t.Context(), Request{ID: "alive"}))
	require.GreaterOrEqual(t, time.Since(start), maxTurnTime/2)
}

// Guards against granting a turn to a router that no longer waits.
func TestWithdrawnRequestGetsNoTurn(t *testing.T) {
	q := New()
	require.True(t, q.Acquire(t.Context(), Request{ID: "a"}))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.False(t, q.Acquire(ctx, Request{ID: "gone"}))
	q.Release("a")
	require.True(t, q.Acquire(t.Context(), Request{ID: "b"}))
}
