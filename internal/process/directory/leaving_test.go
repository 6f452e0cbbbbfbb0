package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/drainnotice"
)

// Guards against runs that stay at an upstream which said in an answer that it leaves,
// and against moving them twice.
func TestDepartureIsNotifiedOnce(t *testing.T) {
	d := newDirectory()
	var departed []string
	d.OnDeparture(func(id string) { departed = append(departed, id) })
	d.Upsert(entry("a", "10.0.0.1:1", 5), start)
	v, _ := d.Upstream("a", start)
	require.True(t, d.IsUsable(v, start))
	d.MarkLeavingAt("10.0.0.1:1", start)
	require.False(t, d.MarkLeaving("a", 5, start))
	d.MergeNotices([]drainnotice.Notice{{ID: "a", Incarnation: 5}}, start)
	require.Equal(t, []string{"a"}, departed)
	require.Empty(t, usable(d, start))
	require.False(t, d.IsUsable(v, start))
	require.False(t, d.Admit("a", start))
}

// Guards against a notice that is forgotten with the state of an upstream which the list
// no longer names: an older entry that is written again would bring it back.
func TestNoticeOutlivesTheListing(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 5), start)
	d.MarkLeaving("a", 5, start)
	d.MarkRemoved("a", false, start)
	later := start.Add(2 * removedRetention)
	require.Empty(t, usable(d, later))
	for _, e := range []Entry{entry("a", "10.0.0.1:1", 5), entry("a", "10.0.0.1:1", 4), entry("a", "10.0.0.9:1", 5), entry("a", "10.0.0.1:1", 0)} {
		d.Upsert(e, later)
		require.Empty(t, usable(d, later))
		d.Restore(e, later)
		require.Empty(t, usable(d, later))
	}
	d.Upsert(entry("a", "10.0.0.1:1", 6), later)
	require.Equal(t, []string{"a"}, usable(d, later))
}

// Guards against a notice about an earlier incarnation, or an unknown upstream, that stops
// a later one.
func TestNoticeFromAPeerBindsItsIncarnationOnly(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 5), start)
	d.MergeNotices([]drainnotice.Notice{{ID: "a", Incarnation: 4}, {ID: "b", Incarnation: 1}, {}}, start)
	require.Equal(t, []string{"a"}, usable(d, start))
	d.Upsert(entry("b", "10.0.0.2:1", 1), start)
	require.Equal(t, []string{"a"}, usable(d, start))
	shared, _ := d.SharedNotices(start)
	require.Len(t, shared, 2)
}

// Guards against an older entry that the store writes late, and that makes a leaving
// upstream usable again. Every order of an incarnation's entries, with any of them
// repeated or missing, must leave the state of the latest one that arrived.
func TestLateEntryDoesNotReplaceALaterOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory()
		latest := Entry{}
		for _, sequence := range rapid.SliceOfN(rapid.Int64Range(1, 8), 1, 20).Draw(t, "sequences") {
			e := entry("a", "10.0.0.1:1", 1)
			e.Sequence, e.Leaving = sequence, sequence >= 5
			if e.Sequence >= latest.Sequence {
				latest = e
			}
			d.Upsert(e, start)
			require.Equal(t, !latest.Leaving, len(usable(d, start)) == 1)
		}
	})
}

// Guards against a restarted upstream that is ignored because its entries count anew,
// or because its time of day was set back.
func TestEntryOfAnotherIncarnationIsNeverLate(t *testing.T) {
	for _, incarnation := range []int64{50, 200} {
		d := newDirectory()
		first := entry("a", "10.0.0.1:1", 100)
		first.Sequence, first.Leaving = 9, true
		d.Upsert(first, start)
		restarted := entry("a", "10.0.0.1:1", incarnation)
		restarted.Sequence = 1
		d.Upsert(restarted, start)
		require.Equal(t, []string{"a"}, usable(d, start))
	}
}
