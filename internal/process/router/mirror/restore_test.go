package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

func write(key, value string, revision int64) Item {
	return Item{Key: key, Value: []byte(value), Revision: revision}
}

func values(m *Mirror) map[string]string {
	held := make(map[string]string)
	for _, i := range m.Since(Position{}).Items {
		held[i.Key] = string(i.Value)
	}
	return held
}

// Guards against items of a restored store that are dropped because an earlier state had the same revisions.
func TestLaterEraReplacesAllItems(t *testing.T) {
	r := &recorder{}
	m := New(r.add)
	m.Apply(Batch{Era: 1, Items: []Item{write("kept", "k", 1), write("changed", "late", 4), write("lost", "l", 5)}, Revision: 5, Full: true}, start)
	_, changed := m.Position()
	r.changes = nil
	m.Apply(Batch{Era: 2, Items: []Item{write("changed", "x", 2)}, Revision: 3}, start)
	require.Empty(t, r.changes, "changes of another era do not follow on the items held")
	m.Apply(Batch{Era: 2, Items: []Item{write("kept", "k", 1), write("changed", "early", 2)}, Revision: 3, Full: true}, start)
	require.Len(t, r.changes, 2)
	require.Equal(t, Change{Item: write("changed", "early", 2), Restored: true}, r.changes[0])
	require.Equal(t, Change{Item: Item{Key: "lost", Revision: 3, Deleted: true}, Unconfirmed: true, Restored: true}, r.changes[1])
	require.Equal(t, start.Add(unconfirmedPeriod), m.UnstableUntil())
	held, _ := m.Position()
	require.Equal(t, Position{Era: 2, Revision: 3}, held)
	select {
	case <-changed:
	default:
		require.Fail(t, "routers that wait for a change must learn of a lower revision in a later era")
	}
	m.Apply(Batch{Era: 1, Items: []Item{write("changed", "late", 4)}, Revision: 9}, start)
	m.Apply(Batch{Era: 2, Items: []Item{write("changed", "newest", 4)}, Revision: 4}, start)
	require.Equal(t, map[string]string{"kept": "k", "changed": "newest"}, values(m))
}

// Guards against a router that gets only the changes after a revision of another era, or steps from a value of another era.
func TestReceiverInAnEarlierEraGetsAllItems(t *testing.T) {
	large := string(make([]byte, 2*minLargeBytes))
	from, to := New((&recorder{}).add), New((&recorder{}).add)
	from.Apply(Batch{Era: 1, Items: []Item{write("large", large+"a", 2)}, Revision: 2, Full: true}, start)
	to.Apply(Batch{Era: 1, Items: []Item{write("large", large+"a", 2), write("large", large+"b", 7)}, Revision: 9, Full: true}, start)
	from.Apply(Batch{Era: 2, Items: []Item{write("large", large+"c", 2)}, Revision: 2, Full: true}, start)
	from.Apply(Batch{Era: 2, Items: []Item{write("large", large+"d", 7)}, Revision: 8}, start)
	held, _ := to.Position()
	_, ok := from.EncodedSince(held, to.Held(), false)
	require.False(t, ok, "no step leads from a value of another era")
	b, ok := from.EncodedSince(held, to.Held(), true)
	require.True(t, ok)
	require.True(t, b.Full)
	decoded, err := to.Decode(b)
	require.NoError(t, err)
	to.Apply(decoded, start)
	require.Equal(t, map[string]string{"large": large + "d"}, values(to))
}

// restoredStore answers watches in its era.
type restoredStore struct {
	scriptedStore

	era int64
}

func (s *restoredStore) Snapshot(ctx context.Context) (Batch, error) {
	b, err := s.scriptedStore.Snapshot(ctx)
	b.Era = s.era
	return b, err
}

func (s *restoredStore) Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	b, err := s.scriptedStore.Watch(ctx, after, wait)
	b.Era = s.era
	return b, err
}

// Guards against a watch that resumes in the history of a restored store at a revision of the one before.
func TestWatchDoesNotResumeInAnotherEra(t *testing.T) {
	s := &restoredStore{era: 1}
	s.items, s.revision = []Item{write("a", "old", 9)}, 9
	m := New((&recorder{}).add)
	f := NewFollower(m, s, eventlog.Discard(), time.Now, 0, func() bool { return true })
	require.NoError(t, f.step(t.Context()))
	s.era, s.items, s.revision = 2, []Item{write("a", "restored", 3), write("b", "new", 12)}, 12
	require.ErrorIs(t, f.step(t.Context()), errRestored)
	f.snapshotDue = true
	require.NoError(t, f.step(t.Context()))
	require.Equal(t, map[string]string{"a": "restored", "b": "new"}, values(m))
	s.era = 1
	require.ErrorIs(t, f.step(t.Context()), errRestored)
	f.snapshotDue = true
	require.Error(t, f.step(t.Context()), "an answer of an earlier era is not taken over")
	require.Equal(t, map[string]string{"a": "restored", "b": "new"}, values(m))
}
