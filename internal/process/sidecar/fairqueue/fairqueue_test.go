package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/request/work"
)

var start = time.Unix(1_000_000, 0)

func item(account string, number, tokens int) work.Work {
	return work.Work{
		ID:             fmt.Sprintf("%s-%d", account, number),
		Account:        account,
		Weight:         1,
		ExpectedTokens: tokens,
		Deadline:       start.Add(time.Minute),
	}
}

// pushAll adds work items of the account with the given tokens each.
func pushAll(t require.TestingT, q *Queue, account string, count, tokens int) {
	for i := range count {
		require.True(t, q.Push(item(account, i, tokens), start))
	}
}

func dequeue(t require.TestingT, q *Queue) work.Work {
	w, ok := q.Next()
	require.True(t, ok)
	require.True(t, q.Remove(w.ID))
	return w
}

// Guards against an account that receives more than its share while others
// wait: for any two accounts with waiting work, the dequeued work divided by
// the weight differs by at most one work item of each (Goyal, Vin and Cheng,
// 1996).
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perAccount = 30
		accounts := rapid.IntRange(2, 5).Draw(t, "accounts")
		q := New(1_000_000, true)
		weights := make([]int, accounts)
		largest := make([]float64, accounts)
		for a := range accounts {
			weights[a] = rapid.IntRange(1, 4).Draw(t, "weight")
			for i := range perAccount {
				w := item(fmt.Sprint(a), i, rapid.IntRange(1, 1000).Draw(t, "tokens"))
				w.Weight = weights[a]
				largest[a] = max(largest[a], float64(w.ExpectedTokens)/float64(weights[a]))
				require.True(t, q.Push(w, start))
			}
		}
		served := make([]float64, accounts)
		dequeued := make([]int, accounts)
		for {
			w := dequeue(t, q)
			var a int
			_, err := fmt.Sscan(w.Account, &a)
			require.NoError(t, err)
			served[a] += float64(w.ExpectedTokens) / float64(weights[a])
			dequeued[a]++
			if dequeued[a] == perAccount {
				return
			}
			for b := range accounts {
				require.LessOrEqual(t, served[a]-served[b], largest[a]+largest[b]+1e-6)
			}
		}
	})
}

// Guards against a flooding account that keeps others out of the queue or
// delays them by more than one of its work items.
func TestFloodingAccountDoesNotBlockOthers(t *testing.T) {
	q := New(64, true)
	pushed := 0
	for i := range 1000 {
		if q.Push(item("flood", i, 100), start) {
			pushed++
		}
	}
	require.Less(t, pushed, 64)
	dequeue(t, q)
	require.True(t, q.Push(item("small", 0, 100), start))
	dequeued := []string{dequeue(t, q).Account, dequeue(t, q).Account}
	require.Contains(t, dequeued, "small")
}

// Guards against an account that accumulates credit while it is idle.
func TestIdleAccountAccumulatesNoCredit(t *testing.T) {
	q := New(1000, true)
	pushAll(t, q, "steady", 100, 10)
	for range 50 {
		dequeue(t, q)
	}
	pushAll(t, q, "late", 20, 10)
	lateCount := 0
	for range 20 {
		if dequeue(t, q).Account == "late" {
			lateCount++
		}
	}
	require.InDelta(t, 10, lateCount, 1)
}

// Guards against an account that is charged for work that never ran.
func TestExpiredAndDiscardedWorkIsNotCharged(t *testing.T) {
	q := New(100, true)
	for i := range 4 {
		require.True(t, q.Push(item("a", i, 1000), start))
		require.True(t, q.Push(item("b", i, 1000), start))
	}
	first, ok := q.Next()
	require.True(t, ok)
	require.Equal(t, "a", first.Account)
	require.True(t, q.Discard(first.ID))
	second, ok := q.Next()
	require.True(t, ok)
	require.Equal(t, "b", second.Account, "b's first work arrived before a's second")
	require.True(t, q.Discard(second.ID))
	require.Len(t, q.Expired(start.Add(time.Hour)), 6)
	third, _ := q.Next()
	require.True(t, q.Remove(third.ID))
	fourth, _ := q.Next()
	require.True(t, q.Remove(fourth.ID))
	require.NotEqual(t, third.Account, fourth.Account)
	require.Zero(t, q.virtual)
}

// Guards against urgent work that waits behind less urgent work, and against
// starvation of less urgent work.
func TestLowPriorityIsDelayedButNotStarved(t *testing.T) {
	q := New(10_000, true)
	for i := range 300 {
		low := item("low", i, 10)
		low.Priority = 2
		require.True(t, q.Push(low, start))
		require.True(t, q.Push(item("high", i, 10), start))
	}
	require.Equal(t, "high", dequeue(t, q).Account)
	low := 0
	for range 170 {
		if dequeue(t, q).Account == "low" {
			low++
		}
	}
	require.InDelta(t, 10, low, 1)
}

// Guards against entries beyond the capacity, lost or duplicated entries, and a
// non-empty queue whose Next returns nothing.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 20).Draw(t, "capacity")
		q := New(capacity, rapid.Bool().Draw(t, "fair"))
		waiting := map[string]bool{}
		for i := range 200 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				w := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), i, 10)
				w.Priority = rapid.IntRange(-1, 6).Draw(t, "priority")
				if q.Push(w, start) {
					waiting[w.ID] = true
				}
			case 2:
				if w, ok := q.Next(); ok {
					require.True(t, q.Remove(w.ID))
					require.True(t, waiting[w.ID])
					delete(waiting, w.ID)
				}
			case 3:
				w, ok := q.Select(func(w work.Work) bool { return w.Account != "a" })
				if ok {
					require.True(t, waiting[w.ID])
					delete(waiting, w.ID)
				}
			}
			require.LessOrEqual(t, q.Len(), capacity)
			require.Equal(t, len(waiting), q.Len())
			_, ok := q.Next()
			require.Equal(t, len(waiting) > 0, ok)
		}
	})
}

// Guards against reordering in a queue without fairness, which is the baseline
// of experiments.
func TestUnfairQueueKeepsOrderOfArrival(t *testing.T) {
	q := New(10, false)
	for i := range 5 {
		w := item("a", i, 10)
		w.Priority = -i
		require.True(t, q.Push(w, start))
	}
	for i := range 5 {
		require.Equal(t, fmt.Sprintf("a-%d", i), dequeue(t, q).ID)
	}
}

// Guards against large work that is never dequeued because small work always
// fits, and against bypasses that are counted although nothing was dequeued.
func TestSelectDoesNotStarveLargeWork(t *testing.T) {
	q := New(1000, true)
	require.True(t, q.Push(item("large", 0, 1), start))
	pushAll(t, q, "small", 100, 1)
	for range 100 {
		_, ok := q.Select(func(work.Work) bool { return false })
		require.False(t, ok)
	}
	overtaken := 0
	for {
		_, ok := q.Select(func(w work.Work) bool { return w.Account == "small" })
		if !ok {
			break
		}
		overtaken++
	}
	require.Equal(t, maxBypasses, overtaken)
}

func BenchmarkPushNextRemove(b *testing.B) {
	for _, accounts := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := New(1000, true)
			for i := range 64 {
				q.Push(item(fmt.Sprint(i%accounts), i, 10), start)
			}
			w := item("new", 0, 10)
			b.ReportAllocs()
			for b.Loop() {
				q.Push(w, start)
				next, _ := q.Next()
				q.Remove(next.ID)
				if next.ID != w.ID {
					q.Remove(w.ID)
					q.Push(next, start)
				}
			}
		})
	}
}

// Guards against a published capacity or order that takes effect only after a
// restart, and against work that is lost by the change.
func TestConfigureAppliesToWaitingWork(t *testing.T) {
	q := New(3, false)
	pushAll(t, q, "large", 3, 100)
	require.False(t, q.Push(item("small", 0, 100), start))
	q.Configure(8, true)
	require.True(t, q.Push(item("small", 0, 100), start))
	require.Equal(t, "large-0", dequeue(t, q).ID)
	require.Equal(t, "small-0", dequeue(t, q).ID)
	q.Configure(1, false)
	require.False(t, q.Push(item("small", 1, 100), start))
	require.Equal(t, "large-1", dequeue(t, q).ID)
	require.Equal(t, "large-2", dequeue(t, q).ID)
	require.Zero(t, q.Len())
}
