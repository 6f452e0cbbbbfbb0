package waitqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func isRejected(p *Place) bool {
	select {
	case <-p.Rejected():
		return true
	default:
		return false
	}
}

// isNext reports whether a is before b in the order that the package documents.
func isNext(a, b *Place) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return !a.request.Arrived.After(b.request.Arrived)
}

// Guards against a less urgent request that is sent before a more urgent one, against a
// request that no turn ever reaches, against memory beyond the bounds, and against
// rejections while the queue has space or of a request that costs callers more.
func TestQueueKeepsOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Requests: rapid.IntRange(1, 8).Draw(t, "requests"), Bytes: rapid.IntRange(10, 60).Draw(t, "bytes")}
		q := New(bounds)
		now := start
		var waiting []*Place
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
			if len(waiting) > 0 && rapid.IntRange(0, 2).Draw(t, "leave") == 0 {
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "who")
				q.Leave(waiting[i], now)
				q.Leave(waiting[i], now)
				waiting = append(waiting[:i], waiting[i+1:]...)
			} else {
				r := Request{
					Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
					Arrived: now, Bytes: rapid.IntRange(0, 25).Draw(t, "size"),
				}
				waiting = joinAndCheck(t, q, r, waiting, now)
			}
			checkOrder(t, q, bounds, waiting)
		}
	})
}

// joinAndCheck adds the request and returns the requests that wait afterwards.
func joinAndCheck(t *rapid.T, q *Queue, r Request, waiting []*Place, now time.Time) []*Place {
	bytes := r.Bytes
	for _, p := range waiting {
		bytes += p.request.Bytes
	}
	hasSpace := len(waiting) < q.bounds.Requests && bytes <= q.bounds.Bytes
	p, retryAfter := q.Join(r, now)
	if p == nil {
		require.False(t, hasSpace, "rejected while the queue has space")
		require.Greater(t, retryAfter, time.Duration(0))
		require.Less(t, retryAfter, maxRetryAfter)
		return waiting
	}
	var kept, rejected []*Place
	for _, w := range waiting {
		if isRejected(w) {
			rejected = append(rejected, w)
			require.Less(t, w.RetryAfter(), maxRetryAfter)
		} else {
			kept = append(kept, w)
		}
	}
	if hasSpace {
		require.Empty(t, rejected, "rejected while the queue has space")
	}
	kept = append(kept, p)
	for _, gone := range rejected {
		for _, stays := range kept {
			require.True(t, isNext(stays, gone), "a request was rejected in favour of a less urgent one")
		}
	}
	return kept
}

func checkOrder(t *rapid.T, q *Queue, bounds Bounds, waiting []*Place) {
	bytes := 0
	first := make(map[string]*Place)
	for _, p := range waiting {
		bytes += p.request.Bytes
		if head := first[p.request.Service]; head == nil || !isNext(head, p) {
			first[p.request.Service] = p
		}
	}
	require.LessOrEqual(t, len(waiting), bounds.Requests)
	require.LessOrEqual(t, bytes, bounds.Bytes)
	total := 0
	for priority := range 4 {
		total += q.Len(priority)
	}
	require.Equal(t, len(waiting), total)
	for _, p := range waiting {
		require.Equal(t, first[p.request.Service] == p, p.IsFirst())
		require.False(t, isRejected(p))
		if p.IsFirst() {
			require.Len(t, p.turn, 1, "the first request never learns that it may look for room")
		}
	}
	require.Len(t, q.services, len(first), "services without requests are forgotten")
}

// Guards against callers that return together, and against callers that return before
// those that were rejected earlier.
func TestRejectedCallersReturnOneAfterTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Bounds{Requests: 1})
		now := start
		p, _ := q.Join(Request{Service: "a", Arrived: now}, now)
		last := now
		for range rapid.IntRange(1, 60).Draw(t, "rejections") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				q.Leave(p, now)
				p, _ = q.Join(Request{Service: "a", Arrived: now}, now)
			}
			_, after := q.Join(Request{Service: "a", Priority: 1, Arrived: now}, now)
			require.True(t, now.Add(after).After(last))
			last = now.Add(after)
		}
	})
}

// Guards against delays that stay long after an overload, because callers that gave up
// have not used the room assigned to them.
func TestDelayIsShortAgainAfterAnOverload(t *testing.T) {
	q := New(Bounds{Requests: 1})
	_, _ = q.Join(Request{Service: "a", Arrived: start}, start)
	for range 100_000 {
		_, _ = q.Join(Request{Service: "a", Priority: 1, Arrived: start}, start)
	}
	later := start.Add(maxBacklog)
	_, after := q.Join(Request{Service: "a", Priority: 1, Arrived: later}, later)
	require.Less(t, after, 2*(minRetryAfter+initialInterval))
}

// BenchmarkJoinAndLeave measures one request that joins a queue of 511 others and leaves it.
func BenchmarkJoinAndLeave(b *testing.B) {
	q := New(Bounds{})
	for i := range DefaultRequests - 1 {
		_, _ = q.Join(Request{Service: "lm", Priority: i % 10, Arrived: start.Add(time.Duration(i))}, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		p, _ := q.Join(Request{Service: "lm", Priority: 4, Arrived: start}, start)
		q.Leave(p, start)
	}
}

// BenchmarkReject measures a request that a full queue rejects.
func BenchmarkReject(b *testing.B) {
	q := New(Bounds{})
	for i := range DefaultRequests {
		_, _ = q.Join(Request{Service: "lm", Arrived: start.Add(time.Duration(i))}, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = q.Join(Request{Service: "lm", Priority: 9, Arrived: start.Add(time.Hour)}, start)
	}
}
