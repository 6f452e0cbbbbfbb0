package waitqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an outlook that differs from what Join does, or that changes the queue.
func TestInspectAgreesWithJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Bounds{Requests: rapid.IntRange(1, 6).Draw(t, "requests"), Bytes: 40})
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			r := Request{
				Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
				Arrived: now, Bytes: rapid.IntRange(0, 25).Draw(t, "size"),
			}
			o := q.Inspect(r)
			require.Equal(t, o, q.Inspect(r))
			require.Equal(t, q.requests, o.Queued)
			place, _ := q.Join(r, now)
			require.Equal(t, place == nil, o.IsFull)
			if place != nil {
				require.Same(t, place, q.services[r.Service][o.Ahead])
			}
		}
	})
}
