package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against new work for an upstream that left in the seconds which a restored list has lost.
func TestRestoredListDoesNotBringBackWhatLeft(t *testing.T) {
	const before, after = 3, 5
	at := func(sequence int64) Entry {
		e := entry("a", "10.0.0.1:1", 7)
		e.Sequence = sequence
		return e
	}
	leaving := at(after)
	leaving.Leaving = true
	for _, c := range []struct {
		name string
		// happened is what the process learnt after the list was copied.
		happened func(d *Directory)
		restored Entry
		// usable is whether the upstream gets new work at once, and afterwards.
		usable, later bool
	}{
		{"nothing", func(*Directory) {}, at(before), true, true},
		{"leaves", func(d *Directory) { d.Upsert(leaving, start) }, at(before), false, true},
		{"removed", func(d *Directory) { d.MarkRemoved("a", false, start) }, at(before), false, true},
		{"removed, perhaps", func(d *Directory) { d.MarkRemoved("a", true, start) }, at(before), true, true},
		{"another entry", func(d *Directory) { d.Upsert(at(after), start) }, at(before), true, true},
		{"restarted", func(d *Directory) { d.Upsert(entry("a", "10.0.0.1:1", 8), start) }, at(before), true, true},
		{"copied while leaving", func(*Directory) {}, leaving, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var departures []string
			d := newDirectory()
			d.OnDeparture(func(id string) { departures = append(departures, id) })
			d.Upsert(at(before), start)
			c.happened(d)
			known := len(departures)
			d.Restore(c.restored, start)
			require.Equal(t, c.usable, len(usable(d, start)) > 0)
			if c.usable {
				require.Len(t, departures, known, "its runs must not move")
			}
			require.Equal(t, c.later, len(usable(d, start.Add(restoredDistrust))) > 0)
			d.Upsert(at(after+1), start)
			require.Equal(t, []string{"a"}, usable(d, start), "an entry that is written again counts at once")
		})
	}
}

// Guards against work for a data centre whose evacuation a restored store has lost.
func TestRestoredStoreDoesNotEndAnEvacuationAtOnce(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	d.SetEvacuated("dc-1", true)
	d.ForgetEvacuation("dc-1", start)
	require.Empty(t, usable(d, start.Add(restoredDistrust-time.Millisecond)))
	require.Equal(t, []string{"a"}, usable(d, start.Add(restoredDistrust)))
	d.SetEvacuated("dc-1", true)
	require.Empty(t, usable(d, start.Add(restoredDistrust)), "the evacuation was written again")
	d.SetEvacuated("dc-1", false)
	d.ForgetEvacuation("dc-1", start)
	require.Equal(t, []string{"a"}, usable(d, start))
}
