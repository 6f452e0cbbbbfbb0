package turnqueue

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two copies at once over one link, and against turns in the
// order of arrival where another generation is worth more.
func TestTurnsGoToTheMostWorthOneAtATime(t *testing.T) {
	q := New()
	require.True(t, q.Acquire(t.Context(), Request{ID: "first", Worth: 1}))
	order := make(chan string, 3)
	for i, id := range []string{"small", "large", "middle"} {
		worth := []float64{1, 3, 2}[i]
		go func() {
			require.True(t, q.Acquire(t.Context(), Request{ID: id, Worth: worth}))
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

// Guards against a router that dies in its turn and holds up all others.
func TestTurnThatIsHeldTooLongEnds(t *testing.T) {
	q := New()
	require.True(t, q.Acquire(t.Context(), Request{ID: "dead"}))
	began := time.Now()
	require.True(t, q.Acquire(t.Context(), Request{ID: "alive"}))
	require.GreaterOrEqual(t, time.Since(began), maxHold/2)
}

// Guards against a turn that goes to a router that no longer waits.
func TestWithdrawnRequestGetsNoTurn(t *testing.T) {
	q := New()
	require.True(t, q.Acquire(t.Context(), Request{ID: "a"}))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.False(t, q.Acquire(ctx, Request{ID: "gone"}))
	q.Release("a")
	require.True(t, q.Acquire(t.Context(), Request{ID: "b"}))
}
