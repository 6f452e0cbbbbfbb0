package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

var start = time.Unix(1_000_000, 0)

func limited(rate float64, concurrency int) *account.Account {
	return &account.Account{Name: "a", RequestsPerSecond: rate, Concurrency: concurrency}
}

// Guards against more requests in any interval than share and burst allow, also
// if the clock stands still or jumps forward between requests.
func TestRateStaysWithinShareAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 20).Draw(t, "gateways")
		a := limited(rapid.Float64Range(0.1, 200).Draw(t, "rate"), 0)
		l := New(gateways)
		share := a.RequestsPerSecond / float64(gateways)
		burst := max(minBurst, share)
		var accepted []time.Time
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if delay, ok := l.Acquire(a, now); ok {
				accepted = append(accepted, now)
			} else {
				require.Positive(t, delay)
			}
		}
		for i, from := range accepted {
			for j, to := range accepted[i:] {
				require.LessOrEqual(t, float64(j+1), burst+share*to.Sub(from).Seconds()+1e-6)
			}
		}
	})
}

// Guards against a refusal with a delay of zero, which occurred at a level just
// below one request.
func TestRefusalHasPositiveDelay(t *testing.T) {
	b := newBucket(*limited(1, 0), 1, start)
	b.level = 1 - 1e-12
	delay, ok := b.acquire(1, start)
	require.False(t, ok)
	require.Positive(t, delay)
}

// Guards against concurrency above the share, and against running requests that
// are never released or released twice.
func TestConcurrencyStaysWithinShare(t *testing.T) {
	l := New(3)
	a := limited(0, 10)
	for range 4 {
		_, ok := l.Acquire(a, start)
		require.True(t, ok)
	}
	_, ok := l.Acquire(a, start)
	require.False(t, ok)
	for range 9 {
		l.Release("a", start)
	}
	for range 4 {
		_, ok := l.Acquire(a, start)
		require.True(t, ok)
	}
	_, ok = l.Acquire(a, start)
	require.False(t, ok)
}

// Guards against a share that is used after its lease has expired, which would
// let a paused or disconnected gateway exceed the limit.
func TestExpiredLeaseIsNotUsed(t *testing.T) {
	l := New(10)
	a := limited(0, 10)
	l.Acquire(a, start)
	l.Apply([]demand.Share{{Name: "a", Concurrency: 5}}, start)
	_, ok := l.Acquire(a, start.Add(demand.LeaseDuration-time.Millisecond))
	require.True(t, ok)
	_, ok = l.Acquire(a, start.Add(demand.LeaseDuration))
	require.False(t, ok)
}

// Guards against a response to an older report that replaces a newer share.
func TestShareForOlderReportIsIgnored(t *testing.T) {
	l := New(10)
	a := limited(0, 10)
	l.Acquire(a, start)
	l.Apply([]demand.Share{{Name: "a", Concurrency: 1}}, start.Add(time.Second))
	l.Apply([]demand.Share{{Name: "a", Concurrency: 9}}, start)
	_, ok := l.Acquire(a, start.Add(time.Second))
	require.False(t, ok)
}

// Guards against reports for accounts that need only their equal share, and
// against missing reports for accounts that need more.
func TestDemandIsReportedOnlyWhenNeeded(t *testing.T) {
	l := New(10)
	quiet := &account.Account{Name: "quiet", RequestsPerSecond: 1, Concurrency: 100}
	busy := &account.Account{Name: "busy", RequestsPerSecond: 1, Concurrency: 100}
	l.Acquire(quiet, start)
	for range 3 {
		l.Acquire(busy, start)
	}
	require.Len(t, l.Refusals(), 1)
	reported := l.Demand(7, start)
	require.Len(t, reported, 1)
	require.Equal(t, demand.Account{
		Name: "busy", RateLimit: 1, ConcurrencyLimit: 100, ConfigurationVersion: 7,
		Rate: 1.5, InUse: 2, Wanted: 3,
	}, reported[0])
	require.Empty(t, l.Demand(7, start.Add(time.Minute)))
}

// Guards against state that grows with the number of accounts ever seen.
func TestUnusedAccountsAreRemoved(t *testing.T) {
	l := New(1)
	for i := range 100 {
		l.Acquire(&account.Account{Name: fmt.Sprint(i), RequestsPerSecond: 10}, start)
		l.Release(fmt.Sprint(i), start)
	}
	require.Equal(t, 100, l.Accounts())
	l.Demand(1, start.Add(2*time.Minute))
	require.Zero(t, l.Accounts())
}

func BenchmarkAcquireRelease(b *testing.B) {
	l := New(3)
	a := limited(1e9, 1000)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Acquire(a, now)
		l.Release("a", now)
	}
}

func BenchmarkDemand(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			l := New(370)
			for i := range n {
				a := &account.Account{Name: fmt.Sprint("account-", i), RequestsPerSecond: 1}
				l.Acquire(a, start)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Demand(1, start)
			}
		})
	}
}
