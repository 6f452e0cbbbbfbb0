package pause

import (
	"context"
	"time"
)

// For waits for the duration d, or until the context ends. It does not wait if
// d is not positive. For reports whether it waited for all of d before the
// context ended.
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
