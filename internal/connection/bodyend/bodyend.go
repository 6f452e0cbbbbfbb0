package bodyend

import (
	"context"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/pause"
)

// closeConfirmDelay is the time after the end of a connection in which a peer that
// has ended stops accepting connections, and its other connections are closed.
const closeConfirmDelay = 50 * time.Millisecond

// Confirm returns the error of reach, which returns nil if the peer accepts
// connections. It is called after closeConfirmDelay, or when the context ends.
func Confirm(ctx context.Context, reach func(context.Context) error) error {
	pause.For(ctx, closeConfirmDelay)
	return reach(ctx)
}
