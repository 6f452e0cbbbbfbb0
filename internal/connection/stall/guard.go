package stall

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled is the cause of a context whose transfer made no progress.
var ErrStalled = errors.New("transfer made no progress for too long")

// Guard ends a context if a transfer makes no progress. It is safe for concurrent
// use.
type Guard struct {
	timer *time.Timer
}

// New returns a context that ends with ErrStalled unless a reader of the guard
// returns bytes within the time. The caller must call Stop.
func New(ctx context.Context, first time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Guard{timer: time.AfterFunc(first, func() { cancel(ErrStalled) })}
}

// Stop ends the guard. The context is not ended by it afterwards.
func (g *Guard) Stop() { g.timer.Stop() }

// Reader returns a reader of the source. Each read that returns bytes gives the
// transfer the time until the next one.
func (g *Guard) Reader(source io.Reader, limit time.Duration) io.Reader {
	return &reader{source: source, guard: g, limit: limit}
}

type reader struct {
	source io.Reader
	guard  *Guard
	limit  time.Duration
}

// Read implements io.Reader.
func (r *reader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	if n > 0 {
		r.guard.timer.Reset(r.limit)
	}
	return n, err
}
