package mirror

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
)

// scriptedStore returns the items that the test has set.
type scriptedStore struct {
	mu          sync.Mutex
	items       []Item
	revision    int64
	unreachable bool
	compacted   bool
	snapshots   int
	calls       int
}

func (s *scriptedStore) Snapshot(context.Context) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unreachable {
		return Batch{}, errors.New("store unreachable")
	}
	s.snapshots++
	s.compacted = false
	return Batch{Items: append([]Item{}, s.items...), Revision: s.revision, Full: true}, nil
}

func (s *scriptedStore) Watch(ctx context.Context, after int64, _ time.Duration) (Batch, error) {
	s.mu.Lock()
	s.calls++
	unreachable, compacted, revision := s.unreachable, s.compacted, s.revision
	items := append([]Item{}, s.items...)
	s.mu.Unlock()
	switch {
	case unreachable:
		return Batch{}, errors.New("store unreachable")
	case compacted:
		return Batch{}, ErrCompacted
	case revision > after:
		return Batch{Items: items, Revision: revision}, nil
	}
	pause.For(ctx, 2*time.Millisecond)
	return Batch{Revision: revision}, nil
}

func (s *scriptedStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func follow(t *testing.T, s *scriptedStore, needed func() bool) *Mirror {
	t.Helper()
	m := New(func([]Change, time.Time) {})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { NewFollower(m, s, eventlog.Discard(), time.Now, 0, needed).Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return m
}

func has(m *Mirror, key string) func() bool {
	return func() bool {
		for _, i := range m.Since(Position{}).Items {
			if i.Key == key {
				return true
			}
		}
		return false
	}
}

// Guards against missing changes while the store is unreachable, and when it
// compacts its history.
func TestFollowerCatchesUpAfterStoreFailure(t *testing.T) {
	s := &scriptedStore{items: []Item{put("a", 1)}, revision: 1}
	m := follow(t, s, func() bool { return true })
	require.Eventually(t, has(m, "a"), time.Second, time.Millisecond)
	s.set(func() { s.unreachable = true })
	time.Sleep(20 * time.Millisecond)
	s.set(func() { s.items, s.revision, s.unreachable, s.compacted = []Item{put("b", 2)}, 2, false, true })
	require.Eventually(t, has(m, "b"), 2*time.Second, time.Millisecond)
	require.False(t, has(m, "a")(), "the snapshot no longer contains the key")
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, 2, s.snapshots)
}

// Guards against calls to the store by routers that receive the items from
// peers.
func TestFollowerQueriesStoreOnlyWhenNeeded(t *testing.T) {
	s := &scriptedStore{items: []Item{put("a", 1)}, revision: 1}
	follow(t, s, func() bool { return false })
	time.Sleep(3 * idlePollInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.calls)
}
