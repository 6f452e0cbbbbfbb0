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

// Guards against an upstream that takes requests and does not work on them: it
// reports nothing to do, so that it looked the emptiest of all and got 110
// generations from 28 routers within 7 s.
func TestUpstreamThatDoesNotAccountForItsRequestsIsDoubted(t *testing.T) {
	var doubted []string
	d := newDirectory()
	d.OnDoubt(func(id string) { doubted = append(doubted, id) })
	d.List(entry("a", "10.0.0.1:1", 1), start)
	d.Report("a", Report{Born: 1, Running: 3}, start)
	d.Await("a", start)
	require.False(t, suspect(t, d, "a", start.Add(settleTime-time.Millisecond)), "its report may be on its way")
	require.Empty(t, doubted)
	late := start.Add(settleTime)
	d.Service("lm", late)
	d.Service("lm", late)
	require.Equal(t, []string{"a"}, doubted, "others are told once")
	require.True(t, suspect(t, d, "a", late))
	after := late.Add(doubtFor + doubtSpread)
	d.Report("a", Report{Born: 1, Running: 3}, after)
	require.True(t, suspect(t, d, "a", after), "it still does not")
	d.Report("a", Report{Born: 1, Running: 3, Waiting: 1}, after)
	require.False(t, suspect(t, d, "a", after), "it does")
}

// Guards against a doubt about an upstream that is idle, or whose report is too
// old to say anything.
func TestAccountedRequestsAreNoReasonForDoubt(t *testing.T) {
	d := newDirectory()
	d.List(entry("a", "10.0.0.1:1", 1), start)
	d.Report("a", Report{Born: 1}, start)
	heard := d.Await("a", start)
	heard()
	heard()
	require.False(t, suspect(t, d, "a", start.Add(settleTime)))
	d.Await("a", start)
	require.False(t, suspect(t, d, "a", start.Add(reportLifetime)))
}

// Guards against routers that each find out for themselves that an upstream
// resets its connections, and against all of them trying it again at once.
func TestDoubtIsSharedAndEnds(t *testing.T) {
	var doubted []string
	d := newDirectory()
	d.OnDoubt(func(id string) { doubted = append(doubted, id) })
	d.List(entry("a", "10.0.0.1:1", 1), start)
	d.Doubt("a", start)
	d.Doubt("a", start)
	require.Equal(t, []string{"a"}, doubted)
	require.True(t, suspect(t, d, "a", start.Add(doubtFor-time.Millisecond)))
	require.False(t, suspect(t, d, "a", start.Add(doubtFor+doubtSpread)))
	d.List(entry("b", "10.0.0.2:1", 1), start)
	d.SharedDoubt("b", start)
	require.True(t, suspect(t, d, "b", start))
	require.Equal(t, []string{"a"}, doubted, "what others told is not told again")
}
