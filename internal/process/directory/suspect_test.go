package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func suspect(t *testing.T, d *Directory, id string, now time.Time) bool {
	t.Helper()
	v, ok := d.Upstream(id, now)
	require.True(t, ok)
	return v.Suspect
}

// Guards against an upstream that accepts requests without processing them. It
// reports no work, so that it looked like the least loaded upstream and got 110
// generations from 28 routers within 7 s.
func TestUpstreamThatOmitsRequestsFromItsReportIsSuspect(t *testing.T) {
	var suspected []string
	d := newDirectory()
	d.OnSuspect(func(id string) { suspected = append(suspected, id) })
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	d.ObserveReport("a", Report{Incarnation: 1, Running: 3}, start)
	d.TrackUnanswered("a", start)
	require.False(t, suspect(t, d, "a", start.Add(reportDelay-time.Millisecond)), "the next report may still include the request")
	require.Empty(t, suspected)
	late := start.Add(reportDelay)
	d.Service("lm", late)
	d.Service("lm", late)
	require.Equal(t, []string{"a"}, suspected, "OnSuspect's function is called once")
	require.True(t, suspect(t, d, "a", late))
	after := late.Add(minSuspectTime + maxSuspectJitter)
	d.ObserveReport("a", Report{Incarnation: 1, Running: 3}, after)
	require.True(t, suspect(t, d, "a", after), "the report still omits the request")
	d.ObserveReport("a", Report{Incarnation: 1, Running: 3, Waiting: 1}, after)
	require.False(t, suspect(t, d, "a", after), "the report includes the request")
}

// Guards against suspecting an upstream that has answered, or whose report has
// expired.
func TestAnsweredRequestsDoNotMakeUpstreamSuspect(t *testing.T) {
	d := newDirectory()
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	d.ObserveReport("a", Report{Incarnation: 1}, start)
	answered := d.TrackUnanswered("a", start)
	answered()
	answered()
	require.False(t, suspect(t, d, "a", start.Add(reportDelay)))
	d.TrackUnanswered("a", start)
	require.False(t, suspect(t, d, "a", start.Add(reportLifetime)))
}

// Guards against routers that each have to discover that an upstream resets its
// connections, and against all of them retrying it at once.
func TestSuspicionIsSharedAndExpires(t *testing.T) {
	var suspected []string
	d := newDirectory()
	d.OnSuspect(func(id string) { suspected = append(suspected, id) })
	d.Upsert(entry("a", "10.0.0.1:1", 1), start)
	d.MarkSuspect("a", start)
	d.MarkSuspect("a", start)
	require.Equal(t, []string{"a"}, suspected)
	require.True(t, suspect(t, d, "a", start.Add(minSuspectTime-time.Millisecond)))
	require.False(t, suspect(t, d, "a", start.Add(minSuspectTime+maxSuspectJitter)))
	d.Upsert(entry("b", "10.0.0.2:1", 1), start)
	d.MarkSuspectByPeer("b", start)
	require.True(t, suspect(t, d, "b", start))
	require.Equal(t, []string{"a"}, suspected, "a suspicion of another router is not shared again")
}

// Guards against an inspection that has an effect: it must not start to suspect an upstream
// nor delete a removed one, and must return the views that requests get.
func TestInspectChangesNothing(t *testing.T) {
	var suspected []string
	d := newDirectory()
	d.OnSuspect(func(id string) { suspected = append(suspected, id) })
	for i, id := range []string{"a", "b", "c"} {
		d.Upsert(entry(id, "10.0.0.1:"+string(rune('1'+i)), 1), start)
	}
	d.ObserveReport("a", Report{Incarnation: 1, Running: 3}, start)
	d.TrackUnanswered("a", start)
	d.MarkLeaving("b", 1, start)
	d.MarkRemoved("c", false, start)
	late := start.Add(reportDelay)
	usable, unusable := d.Inspect("lm", late)
	require.Empty(t, suspected)
	require.Len(t, unusable, 2)
	require.Equal(t, usable, d.Service("lm", late))
	require.Equal(t, []string{"a"}, suspected)
	expired := start.Add(removedRetention + time.Second)
	_, unusable = d.Inspect("lm", expired)
	require.Len(t, unusable, 1, "a removed upstream is not shown for ever")
	require.Len(t, d.All(expired), 3)
}
