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
		Born: int64(number.Draw(t, "born")), Leaving: rapid.Bool().Draw(t, "leaving"),
		LeavesInMillis: int64(number.Draw(t, "leaves")), Waiting: number.Draw(t, "waiting"),
		Running: number.Draw(t, "running"), MemoryUsed: number.Draw(t, "used"),
		MemoryTotal: number.Draw(t, "total"), Doubts: number.Draw(t, "doubts"), Gone: rapid.Bool().Draw(t, "gone"),
	}
}

// Guards against routers that take other values for those of the reporter after
// any series of lines that hold only what changed.
func TestChangesRestoreTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, received Line
		for range 5 {
			next := drawLine(t)
			text, err := json.Marshal(next.since(sent))
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(text, &received))
			require.Equal(t, next, received)
			sent = next
		}
	})
}

// Guards against reports that use the links of routers for what they know: a
// stream of an engine told its start and its memory 4 to 20 times a second.
func TestUnchangedValuesAreNotSent(t *testing.T) {
	line := Line{Born: 1775539296625, Waiting: 1, Running: 3, MemoryUsed: 11552, MemoryTotal: 34252}
	same, err := json.Marshal(line.since(line))
	require.NoError(t, err)
	require.Equal(t, "{}", string(same))
	next := line
	next.MemoryUsed = 11568
	changed, err := json.Marshal(next.since(line))
	require.NoError(t, err)
	require.LessOrEqual(t, len(changed), 24)
}
