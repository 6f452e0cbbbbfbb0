package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newDirectory() *Directory {
	return New(eventlog.Discard(), func(string) float64 { return 10 })
}

func entry(id, address string, born int64) Entry {
	return Entry{ID: id, Service: "lm", Address: address, DataCentre: "dc-1", Slots: 8, Born: born}
}

func usable(d *Directory, now time.Time) []string {
	var ids []string
	for _, v := range d.Service("lm", now) {
		ids = append(ids, v.ID)
	}
	return ids
}

// Guards against requests to former starts of upstreams: after a power failure
// the list named each upstream twice, and each request was refused by several.
func TestLaterStartAtAnAddressSupersedesTheFormer(t *testing.T) {
	for _, order := range [][]Entry{
		{entry("old", "10.0.0.1:1", 100), entry("new", "10.0.0.1:1", 200)},
		{entry("new", "10.0.0.1:1", 200), entry("old", "10.0.0.1:1", 100)},
	} {
		d := newDirectory()
		for _, e := range order {
			d.List(e, start)
		}
		require.Equal(t, []string{"new"}, usable(d, start))
		d.List(entry("old", "10.0.0.1:1", 100), start)
		require.Equal(t, []string{"new"}, usable(d, start), "a further heartbeat of the old entry changes nothing")
	}
}

// Guards against a former start that stays in use though the reporter at its
// address tells of a later one.
func TestReportOfALaterStartEndsTheFormer(t *testing.T) {
	d := newDirectory()
	d.List(entry("old", "10.0.0.1:1", 100), start)
	d.Report("old", Report{Born: 200, Running: 3}, start)
	require.Empty(t, usable(d, start))
}

// Guards against an upstream that is dropped for good because the list lost it
// while it was unstable, and against one that is kept for ever.
func TestUnconfirmedLossIsTakenForTrueAfterAWhile(t *testing.T) {
	d := newDirectory()
	d.List(entry("a", "10.0.0.1:1", 1), start)
	d.Unlist("a", true, start)
	require.Equal(t, []string{"a"}, usable(d, start.Add(unconfirmedFor-time.Millisecond)))
	require.Empty(t, usable(d, start.Add(unconfirmedFor)))
	d.List(entry("a", "10.0.0.1:1", 1), start.Add(3*time.Second))
	require.Equal(t, []string{"a"}, usable(d, start.Add(3*time.Second)))
	d.Unlist("a", false, start.Add(4*time.Second))
	require.Empty(t, usable(d, start.Add(4*time.Second)))
}

// Guards against new work for an upstream that leaves, by the list's word or its
// own, and against a departure that is told twice.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	var departed []string
	d := newDirectory()
	d.OnDeparture(func(id string) { departed = append(departed, id) })
	d.List(entry("a", "10.0.0.1:1", 1), start)
	d.List(entry("b", "10.0.0.2:1", 1), start)
	d.Report("a", Report{Born: 1, Leaving: true, LeavesIn: time.Second}, start)
	leaving := entry("a", "10.0.0.1:1", 1)
	leaving.Leaving = true
	d.List(leaving, start)
	d.Unlist("a", false, start)
	require.Equal(t, []string{"a"}, departed)
	require.Equal(t, []string{"b"}, usable(d, start))
	leaving = entry("b", "10.0.0.2:1", 1)
	leaving.Leaving = true
	d.List(leaving, start)
	require.Equal(t, []string{"a", "b"}, departed)
	require.Empty(t, usable(d, start))
}

// Guards against state of a former start that stays with the next one under the
// same id.
func TestNewStartUnderTheSameIDKnowsNothingOfTheFormer(t *testing.T) {
	d := newDirectory()
	d.List(entry("a", "10.0.0.1:1", 1), start)
	d.Report("a", Report{Born: 1, Leaving: true}, start)
	d.Begin("a", 100, start)
	d.List(entry("a", "10.0.0.1:1", 2), start)
	require.Equal(t, []string{"a"}, usable(d, start))
	v, _ := d.Upstream("a", start)
	require.Zero(t, v.Calls)
}

// Guards against work for a data centre that is out of service.
func TestEvacuatedDataCentreGetsNoWork(t *testing.T) {
	d := newDirectory()
	d.List(entry("a", "10.0.0.1:1", 1), start)
	d.SetEvacuated("dc-1", true)
	require.Empty(t, usable(d, start))
	d.SetEvacuated("dc-1", false)
	require.Equal(t, []string{"a"}, usable(d, start))
}

// Guards against more requests for a cold upstream than this router's share.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	d := newDirectory()
	e := entry("a", "10.0.0.1:1", 1)
	e.ColdFor = 2 * time.Second
	d.List(e, start)
	begun := 0
	for step := range 2000 {
		if d.Begin("a", 1, start.Add(time.Duration(step)*time.Millisecond)) {
			begun++
		}
	}
	require.LessOrEqual(t, begun, 21)
	require.GreaterOrEqual(t, begun, 18)
	for range 100 {
		require.True(t, d.Begin("a", 1, start.Add(2*time.Second)), "a warm upstream has no such bound")
	}
}

// Guards against an upstream that failed and is never tried again.
func TestFailureRateDecays(t *testing.T) {
	d := newDirectory()
	d.List(entry("a", "10.0.0.1:1", 1), start)
	for range 20 {
		d.Outcome("a", true, start)
	}
	v, _ := d.Upstream("a", start)
	require.Greater(t, v.FailureRate, 0.9)
	v, _ = d.Upstream("a", start.Add(4*failureHalfLife))
	require.Less(t, v.FailureRate, 0.1)
}
