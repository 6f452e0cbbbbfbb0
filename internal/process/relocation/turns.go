package relocation

import (
	"context"
	"sync"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

// LocalTurns orders the runs of one process by upstream. It is safe for
// concurrent use.
type LocalTurns struct {
	mu sync.Mutex
	// held has a channel with one place for each upstream.
	held map[string]chan struct{}
}

// NewLocalTurns returns turns that nobody holds.
func NewLocalTurns() *LocalTurns { return &LocalTurns{held: make(map[string]chan struct{})} }

// Acquire implements Turns.
func (t *LocalTurns) Acquire(ctx context.Context, source directory.View, _ string) func() {
	place := t.place(source.ID)
	select {
	case place <- struct{}{}:
		return func() { <-place }
	case <-ctx.Done():
		return func() {}
	}
}

func (t *LocalTurns) place(id string) chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held[id] == nil {
		t.held[id] = make(chan struct{}, 1)
	}
	return t.held[id]
}
