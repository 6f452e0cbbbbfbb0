package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newDirectory() *Directory {
	return New(eventlog.Discard(), func(string, string) (float64, bool) { return 10, true })
}

func entry(id, address string, incarnation int64) Entry {
	return Entry{ID: id, Service: "lm", Address: address, DataCentre: "dc-1", ConcurrencyLimit: 8, Incarnation: incarnation}
}

func usable(d *Directory, now time.Time) []string {
	var ids []string
	for _, v := range d.Service("lm", now) {
		ids = append(ids, v.ID)
	}
	return ids
}

// Guards against requests to earlier incarnations of upstreams. After a power
// failure the list named each upstream twice, and each request was refused by
// several upstreams.
func TestLaterIncarnationAtSameAddressSupersedesEarlierOne(t *testing.T) {
	for _, order := range [][]Entry{
		{entry("old", "10.0.0.1:1", 100), entry("new", "10.0.0.1:1", 200)},
		{entry("new", "10.0.0.1:1", 200), entry("old", "10.0.0.1:1", 100)},
	} {
		d := newDirectory()
		for _, e := range order {
			d.Upsert(e, start)
		}
		require.Equal(t, []string{"new"}, usable(d, start))
		d.Upsert(entry("old", "10.0.0.1:1", 100), start)
		require.Equal(t, []string{"new"}, usable(d, start), "a further heartbeat of the old entry changes nothing")
	}
}

// Guards against an earlier incarnation that stays in use although the reporter
// at its address reports a later one.
func TestReportOfLaterIncarnationRemovesEarlierOne(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("old", "10.0.0.1:1", 100), start)
	d.ObserveReport("old", Report{Incarnation: 200, Running: 3}, start)
	require.Empty(t, usable(d, start))
}

// Guards against dropping an upstream permanently because the list lost it while
// the list was unstable, and against keeping it for ever.
func TestUnconfirmedRemovalTakesEffectAfterRetention(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	d.MarkRemoved("a", true, start)
	require.Equal(t, []string{"a"}, usable(d, start.Add(unconfirmedRetention-time.Millisecond)))
	require.Empty(t, usable(d, start.Add(unconfirmedRetention)))
	d.Upsert(entry("a", "10.0.0.1:1", 1), start.Add(3*time.Second))
	require.Equal(t, []string{"a"}, usable(d, start.Add(3*time.Second)))
	d.MarkRemoved("a", false, start.Add(4*time.Second))
	require.Empty(t, usable(d, start.Add(4*time.Second)))
}

// Guards against requests to a removed upstream for longer than operators allow, 2 s
// after its removal, because the retention alone took that time and the news of the
// removal, which comes by the store's watch and other routers, took more.
func TestUnconfirmedRetentionLeavesTimeForTheNews(t *testing.T) {
	const allowed, newsDelay = 2 * time.Second, 400 * time.Millisecond
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	learned := start.Add(newsDelay)
	d.MarkRemoved("a", true, learned)
	require.Empty(t, usable(d, start.Add(allowed)))
}

// Guards against new work for an upstream that leaves, according to the list or
// its own report, and against calling OnDeparture's function twice.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	var leavingIDs []string
	d := newDirectory()
	d.OnDeparture(func(id string) { leavingIDs = append(leavingIDs, id) })
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	d.Upsert(entry("b", "10.0.0.2:1", 1), start)
	d.ObserveReport("a", Report{Incarnation: 1, Leaving: true, TimeUntilDeparture: time.Second}, start)
	leaving := entry("a", "10.0.0.1:1", 1)
	leaving.Leaving = true
	d.Upsert(leaving, start)
	d.MarkRemoved("a", false, start)
	require.Equal(t, []string{"a"}, leavingIDs)
	require.Equal(t, []string{"b"}, usable(d, start))
	leaving = entry("b", "10.0.0.2:1", 1)
	leaving.Leaving = true
	d.Upsert(leaving, start)
	require.Equal(t, []string{"a", "b"}, leavingIDs)
	require.Empty(t, usable(d, start))
}

// Guards against state of an earlier incarnation that is kept for the next one
// under the same ID.
func TestNewIncarnationUnderSameIDHasFreshState(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	d.ObserveReport("a", Report{Incarnation: 1, Leaving: true}, start)
	d.Begin("a", 100, start)
	d.Upsert(entry("a", "10.0.0.1:1", 2), start)
	require.Equal(t, []string{"a"}, usable(d, start))
	v, _ := d.Upstream("a", start)
	require.Zero(t, v.Calls)
}

// Guards against work for a data centre that is out of service.
func TestEvacuatedDataCentreGetsNoNewWork(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	d.SetEvacuated("dc-1", true)
	require.Empty(t, usable(d, start))
	d.SetEvacuated("dc-1", false)
	require.Equal(t, []string{"a"}, usable(d, start))
}

// Guards against sending more requests to a cold upstream than this router's
// share of the rate.
func TestColdUpstreamIsRateLimited(t *testing.T) {
	d := newDirectory()
	e := entry("a", "10.0.0.1:1", 1)
	e.ColdDuration = 2 * time.Second
	d.Upsert(e, start)
	accepted := 0
	for step := range 2000 {
		if d.Begin("a", 1, start.Add(time.Duration(step)*time.Millisecond)) {
			accepted++
		}
	}
	require.LessOrEqual(t, accepted, 21)
	require.GreaterOrEqual(t, accepted, 18)
	for range 100 {
		require.True(t, d.Begin("a", 1, start.Add(2*time.Second)), "the rate of a warm upstream is not limited")
	}
}

// Guards against an upstream that is never tried again after failures.
func TestFailureRateDecays(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	for range 20 {
		d.RecordOutcome("a", true, start)
	}
	v, _ := d.Upstream("a", start)
	require.Greater(t, v.FailureRate, 0.9)
	v, _ = d.Upstream("a", start.Add(4*failureHalfLife))
	require.Less(t, v.FailureRate, 0.1)
}

// Guards against the pace of an engine being used after its reports have ended: it
// may have changed by then.
func TestEventTimeEndsWithTheReport(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 100), start)
	d.ObserveReport("a", Report{Incarnation: 100, EventTime: 28 * time.Millisecond}, start)
	for after, want := range map[time.Duration]time.Duration{reportLifetime / 2: 28 * time.Millisecond, reportLifetime: 0} {
		v, ok := d.Upstream("a", start.Add(after))
		require.True(t, ok)
		require.Equal(t, want, v.EventTime)
	}
}

// Guards against requests that wait for room and do not learn that a report shows more,
// and against ones that look for room whenever a report arrives.
func TestReportWithLessWorkNotifiesThatRoomIsFreed(t *testing.T) {
	before := Report{Incarnation: 1, Waiting: 2, Running: 3, MemoryUsed: 500}
	for name, c := range map[string]struct {
		next  Report
		freed bool
	}{
		"same":            {before, false},
		"more":            {Report{Incarnation: 1, Waiting: 3, Running: 4, MemoryUsed: 600}, false},
		"prompt started":  {Report{Incarnation: 1, Waiting: 1, Running: 4, MemoryUsed: 600}, true},
		"run ended":       {Report{Incarnation: 1, Waiting: 2, Running: 2, MemoryUsed: 500}, true},
		"memory is freed": {Report{Incarnation: 1, Waiting: 2, Running: 3, MemoryUsed: 499}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory()
			d.Upsert(entry("a", "10.0.0.1:1", 1), start)
			d.ObserveReport("a", before, start)
			freed := d.RoomFreed()
			d.ObserveReport("a", c.next, start)
			select {
			case <-freed:
				require.True(t, c.freed)
			default:
				require.False(t, c.freed)
			}
		})
	}
}
