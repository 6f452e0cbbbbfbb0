package handover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/handover"
)

var start = time.Unix(1000, 0)

func document(incarnation uint64) handover.Document {
	return handover.Document{Service: "hire-app", Slot: "a", SlotIncarnation: incarnation}
}

func request(incarnation uint64) handover.TakeRequest {
	return handover.TakeRequest{Service: "hire-app", SlotIncarnation: incarnation}
}

// Guards against two successors that take the same ledger: the second would run
// the orders of the first again.
func TestDocumentIsTakenOnce(t *testing.T) {
	s := handover.New()
	require.True(t, s.Put(document(4), 10, start))
	_, ok := s.Take("b", request(5), start)
	require.False(t, ok)
	_, ok = s.Take("a", request(5), start)
	require.True(t, ok)
	_, ok = s.Take("a", request(5), start)
	require.False(t, ok)
}

// Guards against a successor that lacks the orders that holders in between ran,
// and against a document that is kept for longer than TTL.
func TestOnlySameOrNextHolderTakes(t *testing.T) {
	for incarnation, want := range map[uint64]bool{3: false, 4: true, 5: true, 6: false} {
		s := handover.New()
		require.True(t, s.Put(document(4), 10, start))
		_, ok := s.Take("a", request(incarnation), start)
		require.Equal(t, want, ok, "incarnation %d", incarnation)
	}
	s := handover.New()
	require.True(t, s.Put(document(4), 10, start))
	_, ok := s.Take("a", request(5), start.Add(handover.TTL))
	require.False(t, ok)
}

// Guards against peers that exhaust the memory.
func TestStoreIsBounded(t *testing.T) {
	s := handover.New()
	require.False(t, s.Put(document(4), 1<<30, start))
	for i := range 100 {
		d := document(4)
		d.Slot = string(rune('a' + i))
		require.Equal(t, i < 64, s.Put(d, 10, start))
	}
}
