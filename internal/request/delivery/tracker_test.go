package delivery_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/request/delivery"
)

// Guards guarantee G1 of docs/design.md: if frames are lost, duplicated,
// reordered or mixed with those of another generation, the delivered tokens are
// still 1, 2, 3, ... and only a complete answer ends normally.
func TestDeliveredTokensAreConsecutive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 6
		var tracker delivery.Tracker
		var delivered []uint64
		for range rapid.IntRange(1, 60).Draw(t, "frames") {
			generation := rapid.SampledFrom([]string{"", "a.1.1", "b.1.1"}).Draw(t, "generation")
			if generation != "" && tracker.Accept(generation) != nil {
				require.NotEqual(t, generation, tracker.Generation())
				continue
			}
			seq := rapid.Uint64Range(1, length).Draw(t, "seq")
			if rapid.Bool().Draw(t, "end") {
				err := tracker.End(length)
				require.Equal(t, err == nil, len(delivered) == length && tracker.Generation() != "")
				continue
			}
			if deliver, _ := tracker.Token(seq); deliver {
				delivered = append(delivered, seq)
			}
		}
		for i, seq := range delivered {
			require.EqualValues(t, i+1, seq)
		}
		if tracker.Complete() {
			require.Len(t, delivered, length)
		}
	})
}

// Guards against the wrong error for a fault: a gap can be resumed, a frame of
// another generation cannot.
func TestGapsAndFramesOfOtherGenerationsAreDistinguished(t *testing.T) {
	tracker := delivery.Resume("a.1.1", 4)
	require.ErrorIs(t, tracker.Accept("a.1.2"), delivery.ErrWrongGeneration)
	deliver, err := tracker.Token(4)
	require.NoError(t, err)
	require.False(t, deliver, "delivered before")
	_, err = tracker.Token(6)
	require.ErrorIs(t, err, delivery.ErrGap)
	require.ErrorIs(t, tracker.End(3), delivery.ErrWrongGeneration)
	require.ErrorIs(t, tracker.End(5), delivery.ErrGap)
	deliver, err = tracker.Token(5)
	require.NoError(t, err)
	require.True(t, deliver)
	require.False(t, tracker.Complete())
	require.NoError(t, tracker.End(5))
	require.True(t, tracker.Complete())
	_, err = tracker.Token(6)
	require.ErrorIs(t, err, delivery.ErrWrongGeneration, "after the end")
}
