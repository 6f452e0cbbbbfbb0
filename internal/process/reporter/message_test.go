package reporter

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

func drawLine(t *rapid.T) Line {
	number := rapid.IntRange(0, 3)
	return Line{
		Incarnation: int64(number.Draw(t, "born")), Leaving: rapid.Bool().Draw(t, "leaving"),
		LeavesInMillis: int64(number.Draw(t, "leaves")), Waiting: number.Draw(t, "waiting"),
		Running: number.Draw(t, "running"), MemoryUsed: number.Draw(t, "used"),
		MemoryTotal: number.Draw(t, "total"), EventMicros: int64(number.Draw(t, "event")), Suspicions: number.Draw(t, "doubts"), Unreachable: rapid.Bool().Draw(t, "gone"),
	}
}

// Guards against routers whose values differ from those of the reporter after
// any sequence of messages that hold only the changed fields.
func TestDeltasReproduceTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, received Line
		for range 5 {
			next := drawLine(t)
			text, err := json.Marshal(next.deltaFrom(sent))
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(text, &received))
			require.Equal(t, next, received)
			sent = next
		}
	})
}

// Guards against using the links of routers for values that they already have.
// The stream of an engine repeated its start time and memory size 4 to 20 times
// per second.
func TestUnchangedValuesAreNotSent(t *testing.T) {
	line := Line{Incarnation: 1775539296625, Waiting: 1, Running: 3, MemoryUsed: 11552, MemoryTotal: 34252}
	same, err := json.Marshal(line.deltaFrom(line))
	require.NoError(t, err)
	require.Equal(t, "{}", string(same))
	next := line
	next.MemoryUsed = 11568
	changed, err := json.Marshal(next.deltaFrom(line))
	require.NoError(t, err)
	require.LessOrEqual(t, len(changed), 24)
}

// Guards against a message to all routers for each change of the measured event
// time, against drift that is never sent because each step is small, and against an
// event time that remains after it has become unknown.
func TestSmallChangesOfTheEventTimeAreNotSent(t *testing.T) {
	sent := Line{EventMicros: 30_000}
	for measured, want := range map[int64]int64{32_900: 30_000, 27_100: 30_000, 33_000: 33_000, 26_900: 26_900, 75_000: 75_000, 0: 0} {
		line := Line{EventMicros: measured}.withSteadyEventTime(sent)
		require.Equal(t, want, line.EventMicros)
		require.False(t, line.isUrgent(sent))
	}
	require.Equal(t, int64(100), Line{EventMicros: 100}.withSteadyEventTime(Line{}).EventMicros)
}

// Guards against an event time that is lost on the way to routers, and against
// negative or overflowing values.
func TestEventTimeOfALine(t *testing.T) {
	require.Equal(t, 28*time.Millisecond, newLine(directory.Report{EventTime: 28 * time.Millisecond}).Report().EventTime)
	for _, micros := range []int64{-1, math.MinInt64, math.MaxInt64, time.Hour.Microseconds()} {
		require.Zero(t, Line{EventMicros: micros}.Report().EventTime)
	}
}
