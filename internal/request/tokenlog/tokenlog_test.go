package tokenlog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/request/tokenlog"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

var start = time.Unix(1000, 0)

func token(seq uint64) []byte { return []byte(fmt.Sprintf("%06d", seq)) }

// Guards against lost, duplicate or reordered tokens for any interleaving of
// appended tokens, duplicates included, reads and acknowledgements.
func TestReadersReceiveEveryTokenOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := tokenlog.New("i.c.1", "bakery", 60, start)
		var written, received uint64
		steps := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 200).Draw(t, "steps")
		for _, step := range steps {
			switch step {
			case 0:
				accepted, err := l.Append(written+1, token(written+1))
				require.NoError(t, err)
				if accepted {
					written++
				}
			case 1:
				if written > 0 {
					_, err := l.Append(written, []byte("copy"))
					require.NoError(t, err)
				}
			case 2:
				_, err := l.Append(written+2, token(written+2))
				require.Error(t, err)
			case 3:
				tokens, err := l.Read(received, 3)
				require.NoError(t, err)
				for _, data := range tokens {
					received++
					require.Equal(t, token(received), data)
				}
			case 4:
				l.Acknowledge(received)
			}
			require.LessOrEqual(t, written-received, uint64(10), "more unread tokens than the bound of 60 bytes allows")
		}
	})
}

// Guards against a slow reader that loses tokens when the log is full, and
// against a bound that is not enforced.
func TestBoundDropsOnlyDeliveredTokens(t *testing.T) {
	l := tokenlog.New("i.c.1", "bakery", 12, start)
	for seq := uint64(1); seq <= 2; seq++ {
		accepted, err := l.Append(seq, token(seq))
		require.NoError(t, err)
		require.True(t, accepted)
	}
	accepted, err := l.Append(3, token(3))
	require.NoError(t, err)
	require.False(t, accepted, "an unread token was dropped")
	_, err = l.Read(0, 1)
	require.NoError(t, err)
	accepted, err = l.Append(3, token(3))
	require.NoError(t, err)
	require.True(t, accepted)
	_, err = l.Read(0, 1)
	require.ErrorIs(t, err, tokenlog.ErrDropped)
	_, err = l.Read(9, 1)
	require.ErrorIs(t, err, tokenlog.ErrBeyondLast)
}

// Guards against End after Fail, which would present a partial answer as a
// complete one.
func TestFailureIsFinal(t *testing.T) {
	l := tokenlog.New("i.c.1", "bakery", 60, start)
	_, err := l.Append(1, token(1))
	require.NoError(t, err)
	l.Fail(problem.Incomplete("engine_died", "stream cut"))
	l.End()
	state, last, reason := l.State()
	require.Equal(t, tokenlog.StateFailed, state)
	require.EqualValues(t, 1, last)
	require.Equal(t, problem.OutcomeIncomplete, reason.Outcome)
	_, err = l.Append(2, token(2))
	require.Error(t, err)
}

// Guards against cancelling a generation whose reader may still reconnect, and
// against running an abandoned one for ever.
func TestOrphanGracePeriod(t *testing.T) {
	l := tokenlog.New("i.c.1", "bakery", 60, start)
	require.False(t, l.Orphaned(start.Add(tokenlog.OrphanGracePeriod-1)))
	require.True(t, l.Orphaned(start.Add(tokenlog.OrphanGracePeriod)))
	l.Attach(0)
	l.Attach(0)
	l.Detach(start)
	require.False(t, l.Orphaned(start.Add(time.Hour)))
	l.Detach(start.Add(time.Hour))
	require.False(t, l.Orphaned(start.Add(time.Hour)))
	require.True(t, l.Orphaned(start.Add(time.Hour+tokenlog.OrphanGracePeriod)))
}
