package quotahome

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/demand"
	"github.com/flamingohold/flamingohold/internal/process/quota"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

var start = time.Unix(1_000_000, 0)

func report(gateway string, rate float64, wanted int) demand.Report {
	return demand.Report{Gateway: gateway, Accounts: []demand.Account{{
		Name: "a", RateLimit: 100, ConcurrencyLimit: 10, Rate: rate, InUse: 0, Wanted: wanted,
	}}}
}

// opened returns a home that grants leases, and its time.
func opened(gateways int) (*Home, time.Time) {
	return New(gateways, start), start.Add(demand.Lease)
}

// Guards against shares in force that add up to more than the limit, for any
// reports, losses and times.
func TestLeasesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 6
		h, now := opened(gateways)
		type lease struct {
			share demand.Share
			until time.Time
		}
		leases := map[string]lease{}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			g := fmt.Sprint(rapid.IntRange(1, gateways).Draw(t, "gateway"))
			r := report(g, rapid.Float64Range(0, 300).Draw(t, "rate"), rapid.IntRange(0, 30).Draw(t, "wanted"))
			share := h.Divide(r, now).Accounts[0]
			leases[g] = lease{share, now.Add(demand.Lease)}
			rate, places := 0.0, 0
			for _, l := range leases {
				if now.Before(l.until) {
					rate += l.share.Rate
					places += l.share.Concurrency
				}
			}
			require.LessOrEqual(t, rate, 100+1e-6)
			require.LessOrEqual(t, places, 10)
		}
	})
}

// Guards against a limit that lies unused, and against one gateway that keeps
// what another needs.
func TestSharesFollowDemand(t *testing.T) {
	h, now := opened(3)
	alone := h.Divide(report("1", 50, 9), now).Accounts[0]
	require.InDelta(t, 100, alone.Rate, 1e-6)
	require.Equal(t, 10, alone.Concurrency)
	for range 3 {
		now = now.Add(time.Second)
		h.Divide(report("1", 500, 20), now)
		h.Divide(report("2", 500, 20), now)
	}
	first := h.Divide(report("1", 500, 20), now).Accounts[0]
	second := h.Divide(report("2", 500, 20), now).Accounts[0]
	require.InDelta(t, 50, first.Rate, 1e-6)
	require.InDelta(t, 50, second.Rate, 1e-6)
	require.Equal(t, 10, first.Concurrency+second.Concurrency)
}

// Guards against a home that forgets a gateway that was cut off and still uses
// its equal share, and against one that keeps it for good.
func TestLostGatewayCountsWithEqualShare(t *testing.T) {
	h, now := opened(4)
	h.Divide(report("1", 500, 20), now)
	h.Divide(report("2", 500, 20), now)
	now = now.Add(10 * time.Second)
	require.InDelta(t, 75, h.Divide(report("1", 500, 20), now).Accounts[0].Rate, 1e-6)
	now = now.Add(memory)
	require.InDelta(t, 100, h.Divide(report("1", 500, 20), now).Accounts[0].Rate, 1e-6)
}

// Guards against a restarted home that grants while leases of its predecessor
// are in force.
func TestNewHomeGrantsNothingAtFirst(t *testing.T) {
	h := New(3, start)
	require.Empty(t, h.Divide(report("1", 10, 1), start.Add(demand.Lease-time.Millisecond)).Accounts)
	require.Len(t, h.Divide(report("1", 10, 1), start.Add(demand.Lease)).Accounts, 1)
}

// Guards against state that grows with every account ever seen.
func TestAccountsAreForgotten(t *testing.T) {
	h, now := opened(3)
	for i := range 1000 {
		r := report("1", 1, 1)
		r.Accounts[0].Name = fmt.Sprint(i)
		h.Divide(r, now)
	}
	now = now.Add(2 * memory)
	for i := range 100 {
		r := report("1", 1, 1)
		r.Accounts[0].Name = fmt.Sprint("new-", i)
		h.Divide(r, now)
	}
	require.LessOrEqual(t, h.Accounts(), 100)
}

// fleet is a set of limiters with one home, any of which can be cut off.
type fleet struct {
	account  *account.Account
	limiters []*quota.Limiter
	running  []int
	cut      []bool
	home     *Home
}

func newFleet(a *account.Account, gateways int, now time.Time) *fleet {
	f := &fleet{account: a, running: make([]int, gateways), cut: make([]bool, gateways), home: New(gateways, now)}
	for range gateways {
		f.limiters = append(f.limiters, quota.New(gateways))
	}
	return f
}

func (f *fleet) exchange(i int, now time.Time) {
	accounts := f.limiters[i].Demand(1, now)
	if f.cut[i] {
		return
	}
	f.limiters[i].Apply(f.home.Divide(demand.Report{Gateway: fmt.Sprint(i), Accounts: accounts}, now).Accounts, now)
}

func (f *fleet) total() int {
	n := 0
	for _, r := range f.running {
		n += r
	}
	return n
}

// Guards against an overshoot above the bound stated in package quota, before,
// during and after a loss of the home or of the connection to any gateways.
func TestOvershootBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		a := &account.Account{Name: "a", Concurrency: limit}
		if rapid.Bool().Draw(t, "limited by rate") {
			a = &account.Account{Name: "a", RequestsPerSecond: float64(limit)}
		}
		now := start
		f := newFleet(a, gateways, now)
		disruption := rapid.IntRange(0, 200).Draw(t, "disruption")
		heal := rapid.IntRange(disruption, 300).Draw(t, "heal")
		var accepted []time.Time
		for step := range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch step {
			case disruption:
				f.disrupt(t, gateways, now)
			case heal:
				clear(f.cut)
			}
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				f.exchange(i, now)
			case 1:
				f.release(i, now)
			default:
				accepted = f.acquireAll(i, accepted, now)
			}
			if a.Concurrency > 0 {
				require.LessOrEqual(t, f.total(), limit+max(limit, gateways)+limit)
			}
		}
		if a.Concurrency > 0 {
			return
		}
		requireRate(t, accepted, float64(limit), gateways)
	})
}

func (f *fleet) release(i int, now time.Time) {
	if f.running[i] > 0 {
		f.running[i]--
		f.limiters[i].Release("a", now)
	}
}

func (f *fleet) acquireAll(i int, accepted []time.Time, now time.Time) []time.Time {
	for {
		if _, ok := f.limiters[i].Acquire(f.account, now); !ok {
			return accepted
		}
		f.running[i]++
		accepted = append(accepted, now)
	}
}

// disrupt restarts the home or cuts some gateways off from it.
func (f *fleet) disrupt(t *rapid.T, gateways int, now time.Time) {
	if rapid.Bool().Draw(t, "home is lost") {
		f.home = New(gateways, now)
		return
	}
	for i := range f.cut {
		f.cut[i] = rapid.Bool().Draw(t, "cut")
	}
}

// requireRate checks the stated bound on requests in every span of time: twice
// the rate, and one burst of each gateway.
func requireRate(t *rapid.T, accepted []time.Time, limit float64, gateways int) {
	bursts := 2*float64(gateways) + 2*limit
	earliest := math.Inf(-1)
	for i, at := range accepted {
		allowed := 2 * limit * at.Sub(start).Seconds()
		earliest = max(earliest, allowed-float64(i))
		require.LessOrEqual(t, float64(i+1)-allowed+earliest, bursts+1e-6)
	}
}

func BenchmarkDivide(b *testing.B) {
	for _, gateways := range []int{3, 60, 370} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			h, now := opened(gateways)
			for g := range gateways {
				h.Divide(report(fmt.Sprint(g), float64(g), g), now)
			}
			r := report("0", 10, 2)
			b.ReportAllocs()
			for b.Loop() {
				h.Divide(r, now)
			}
		})
	}
}
