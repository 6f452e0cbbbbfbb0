package upstreampause

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a pause that a shorter one, or an entry without incarnation, ends, and
// against one that outlives the upstream's restart.
func TestPauseLastsUntilItsEndOrALaterIncarnation(t *testing.T) {
	p := New()
	require.Zero(t, p.Left("u", 5, start))
	require.Equal(t, 4*time.Second, p.Record("u", 5, 4*time.Second, start))
	p.Record("u", 5, time.Second, start)
	p.Record("u", 4, time.Minute, start)
	at := start.Add(time.Second)
	for incarnation, want := range map[int64]time.Duration{0: 3 * time.Second, 5: 3 * time.Second, 6: 0} {
		require.Equal(t, want, p.Left("u", incarnation, at), incarnation)
	}
	require.Zero(t, p.Left("u", 5, start.Add(4*time.Second)))
	require.Zero(t, p.Left("other", 5, at))
}

// Guards against a pause without end, and against an overflow that ends it at once.
func TestAbsurdPausesAreBounded(t *testing.T) {
	for _, length := range []time.Duration{-1, 0, math.MinInt64} {
		p := New()
		require.Zero(t, p.Record("u", 1, length, start))
		require.Zero(t, p.Left("u", 1, start))
	}
	p := New()
	require.Equal(t, maxPause, p.Record("u", 1, math.MaxInt64, start))
	require.Equal(t, maxPause, p.Left("u", 1, start))
}

// Guards against runs that crowd an upstream in its pause.
func TestOneRunMayReturnInAPause(t *testing.T) {
	p := New()
	require.True(t, p.TakeReturn("u", 1, start))
	p.Record("u", 1, time.Second, start)
	require.True(t, p.TakeReturn("u", 1, start))
	require.False(t, p.TakeReturn("u", 1, start))
	p.Record("u", 1, 2*time.Second, start)
	require.False(t, p.TakeReturn("u", 1, start), "a longer pause is the same one")
	require.True(t, p.TakeReturn("u", 2, start))
	require.True(t, p.TakeReturn("u", 1, start.Add(3*time.Second)))
}

// Guards against pauses that fill the memory, and against dropping the longest ones.
func TestPausesAreBounded(t *testing.T) {
	p := New()
	for i := range maxPauses + 5 {
		p.Record(strconv.Itoa(i), 1, time.Minute+time.Duration(i), start)
	}
	require.Len(t, p.pauses, maxPauses)
	require.Zero(t, p.Left("4", 1, start))
	require.NotZero(t, p.Left("5", 1, start))
	p.Record("later", 1, time.Second, start.Add(time.Hour))
	require.Len(t, p.pauses, 1)
}
