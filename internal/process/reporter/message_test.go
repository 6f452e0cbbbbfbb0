package reporter

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawLine(t *rapid.T) Line {
	number := rapid.IntRange(0, 3)
	return Line{
		Incarnation: int64(number.Draw(t, "born")), Leaving: rapid.Bool().Draw(t, "leaving"),
		LeavesInMillis: int64(number.Draw(t, "leaves")), Waiting: number.Draw(t, "waiting"),
		Running: number.Draw(t, "running"), MemoryUsed: number.Draw(t, "used"),
		MemoryTotal: number.Draw(t, "total"), Suspicions: number.Draw(t, "doubts"), Unreachable: rapid.Bool().Draw(t, "gone"),
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
