package pause

import (
	"context"
	"time"
)

// For waits for the time, not at all if it is not positive. It reports whether
// the whole time passed before the context ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
