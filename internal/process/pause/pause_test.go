package pause

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForWaitsOrEndsWithContext(t *testing.T) {
	start := time.Now()
	require.True(t, For(t.Context(), 20*time.Millisecond))
	require.GreaterOrEqual(t, time.Since(start), 20*time.Millisecond)
	require.True(t, For(t.Context(), 0))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	require.False(t, For(ctx, time.Hour))
	require.False(t, For(ctx, -time.Second))
}
