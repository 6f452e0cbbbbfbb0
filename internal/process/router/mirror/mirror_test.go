package mirror

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recorder records the changes of a mirror.
type recorder struct{ changes []Change }

func (r *recorder) add(changes []Change, _ time.Time) { r.changes = append(r.changes, changes...) }

func keys(b Batch) []string {
	var names []string
	for _, i := range b.Items {
		names = append(names, i.Key)
	}
	sort.Strings(names)
	return names
}

func put(key string, revision int64) Item {
	return Item{Key: key, Value: []byte(key), Revision: revision}
}

// Guards against replacing a newer state of a key by an older one. Batches
// arrive from the store and from peers in any order.
func TestOlderItemsDoNotReplaceNewer(t *testing.T) {
	r := &recorder{}
	m := New(r.add)
	m.Apply(Batch{Items: []Item{put("a", 5)}, Revision: 5}, start)
	m.Apply(Batch{Items: []Item{put("a", 3)}, Revision: 4}, start)
	m.Apply(Batch{Items: []Item{{Key: "a", Revision: 4, Deleted: true}}, Revision: 4}, start)
	require.Len(t, r.changes, 1)
	held, _ := m.Position()
	require.EqualValues(t, 5, held.Revision)
}

// Guards against keeping keys that were deleted in the history that was lost.
func TestFullBatchDeletesAbsentKeys(t *testing.T) {
	r := &recorder{}
	m := New(r.add)
	m.Apply(Batch{Items: []Item{put("a", 1), put("b", 2)}, Revision: 2}, start)
	m.Apply(Batch{Items: []Item{put("c", 9)}, Revision: 9}, start)
	m.Apply(Batch{Items: []Item{put("b", 2)}, Revision: 7, Full: true}, start)
	last := r.changes[len(r.changes)-1]
	require.Equal(t, "a", last.Item.Key)
	require.True(t, last.Item.Deleted)
	require.Equal(t, []string{"b", "c"}, keys(m.Since(Position{})), "a key that is newer than the batch is kept")
}

// Guards against peers that miss a deletion.
func TestSinceIncludesDeletions(t *testing.T) {
	m := New((&recorder{}).add)
	m.Apply(Batch{Items: []Item{put("a", 1), put("b", 2)}, Revision: 2}, start)
	m.Apply(Batch{Items: []Item{{Key: "a", Revision: 3, Deleted: true}}, Revision: 3}, start)
	delta := m.Since(Position{Revision: 2})
	require.False(t, delta.Full)
	require.Equal(t, []string{"a"}, keys(delta))
	require.True(t, delta.Items[0].Deleted)
}

// Guards against a peer that misses deletions because it is behind the purged
// tombstones. It must receive a full batch.
func TestPeerBehindPurgedDeletionsGetsFullBatch(t *testing.T) {
	m := New((&recorder{}).add)
	m.Apply(Batch{Items: []Item{put("kept", 1)}, Revision: 1}, start)
	revision := int64(1)
	for range maxTombstones + 1 {
		revision++
		m.Apply(Batch{Items: []Item{{Key: time.Duration(revision).String(), Revision: revision, Deleted: true}}, Revision: revision}, start)
	}
	require.True(t, m.Since(Position{Revision: 5}).Full)
	require.Equal(t, []string{"kept"}, keys(m.Since(Position{Revision: 5})))
}

// Guards against dropping upstreams that the store lost only because it was
// unreachable.
func TestDeletionsWhileStoreIsUnstableAreUnconfirmed(t *testing.T) {
	r := &recorder{}
	m := New(r.add)
	m.MarkUnstable(start.Add(time.Second))
	m.Apply(Batch{Items: []Item{{Key: "a", Revision: 1, Deleted: true}}, Revision: 1, Source: StoreSource}, start)
	m.Apply(Batch{Items: []Item{{Key: "b", Revision: 2, Deleted: true}}, Revision: 2, Source: StoreSource}, start.Add(time.Second))
	require.True(t, r.changes[0].Unconfirmed)
	require.False(t, r.changes[1].Unconfirmed)
}

// Guards against a router without contact to the store that lets all others doubt what
// the store says to them: with hundreds of routers there is always one.
func TestDeletionIsAsUncertainAsItWasWhereItWasRead(t *testing.T) {
	for _, c := range []struct {
		name                                string
		unstableAtReader, unstableElsewhere bool
	}{
		{"store unstable where it was read", true, false},
		{"store unstable elsewhere", false, true},
		{"store stable", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			results := make([]*recorder, 3)
			routers := make([]*Mirror, 3)
			for i := range routers {
				results[i] = &recorder{}
				routers[i] = New(results[i].add)
				unstable := i == 0 && c.unstableAtReader || i > 0 && c.unstableElsewhere
				if unstable {
					routers[i].MarkUnstable(start.Add(time.Minute))
				}
				routers[i].Apply(Batch{Items: []Item{{Key: "a", Value: []byte("x"), Revision: 1}}, Revision: 1}, start)
			}
			routers[0].Apply(Batch{Items: []Item{{Key: "a", Revision: 2, Deleted: true}}, Revision: 2, Source: StoreSource}, start)
			for i := range routers[1:] {
				batch := routers[i].Since(Position{Revision: 1})
				batch.Source = "router"
				routers[i+1].Apply(batch, start)
			}
			for _, r := range results {
				require.Equal(t, c.unstableAtReader, r.changes[len(r.changes)-1].Unconfirmed)
			}
		})
	}
}
