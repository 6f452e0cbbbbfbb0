package quotahome

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quota"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

var start = time.Unix(1_000_000, 0)

func report(gateway string, rate float64, wanted int) demand.Report {
	return demand.Report{Gateway: gateway, Accounts: []demand.Account{{
		Name: "a", RateLimit: 100, ConcurrencyLimit: 10, Rate: rate, InUse: 0, Wanted: wanted,
	}}}
}

// newGrantingHome returns a Home and the time from which it grants leases.
func newGrantingHome(gateways int) (*Home, time.Time) {
	return New(gateways, start), start.Add(demand.LeaseDuration)
}

// Guards against valid leases that add up to more than the limit, for any
// reports, missing reports and times.
func TestLeasesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 6
		h, now := newGrantingHome(gateways)
		type lease struct {
			share     demand.Share
			expiresAt time.Time
		}
		leases := map[string]lease{}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			g := fmt.Sprint(rapid.IntRange(1, gateways).Draw(t, "gateway"))
			r := report(g, rapid.Float64Range(0, 300).Draw(t, "rate"), rapid.IntRange(0, 30).Draw(t, "wanted"))
			share := h.Divide(r, now).Accounts[0]
			leases[g] = lease{share, now.Add(demand.LeaseDuration)}
			rate, concurrency := 0.0, 0
			for _, l := range leases {
				if now.Before(l.expiresAt) {
					rate += l.share.Rate
					concurrency += l.share.Concurrency
				}
			}
			require.LessOrEqual(t, rate, 100+1e-6)
			require.LessOrEqual(t, concurrency, 10)
		}
	})
}

// Guards against a limit that remains partly unused, and against a gateway that
// keeps a share that another one needs.
func TestSharesFollowDemand(t *testing.T) {
	h, now := newGrantingHome(3)
	single := h.Divide(report("1", 50, 9), now).Accounts[0]
	require.InDelta(t, 100, single.Rate, 1e-6)
	require.Equal(t, 10, single.Concurrency)
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

// Guards against a home gateway that ignores a disconnected gateway, which still
// uses its equal share, and against one that reserves that share indefinitely.
func TestDisconnectedGatewayKeepsEqualShareUntilExpiry(t *testing.T) {
	h, now := newGrantingHome(4)
	h.Divide(report("1", 500, 20), now)
	h.Divide(report("2", 500, 20), now)
	now = now.Add(10 * time.Second)
	require.InDelta(t, 75, h.Divide(report("1", 500, 20), now).Accounts[0].Rate, 1e-6)
	now = now.Add(gatewayLifetime)
	require.InDelta(t, 100, h.Divide(report("1", 500, 20), now).Accounts[0].Rate, 1e-6)
}

// Guards against a restarted home gateway that grants shares while leases of the
// previous process are still valid.
func TestNewHomeGrantsNothingForOneLease(t *testing.T) {
	h := New(3, start)
	require.Empty(t, h.Divide(report("1", 10, 1), start.Add(demand.LeaseDuration-time.Millisecond)).Accounts)
	require.Len(t, h.Divide(report("1", 10, 1), start.Add(demand.LeaseDuration)).Accounts, 1)
}

// Guards against state that grows with the number of accounts ever seen.
func TestUnusedAccountsAreRemoved(t *testing.T) {
	h, now := newGrantingHome(3)
	for i := range 1000 {
		r := report("1", 1, 1)
		r.Accounts[0].Name = fmt.Sprint(i)
		h.Divide(r, now)
	}
	now = now.Add(2 * gatewayLifetime)
	for i := range 100 {
		r := report("1", 1, 1)
		r.Accounts[0].Name = fmt.Sprint("new-", i)
		h.Divide(r, now)
	}
	require.LessOrEqual(t, h.Accounts(), 100)
}

// fleet is a set of limiters with one home gateway, each of which can be
// disconnected.
type fleet struct {
	account      *account.Account
	limiters     []*quota.Limiter
	running      []int
	disconnected []bool
	home         *Home
}

func newFleet(a *account.Account, gateways int, now time.Time) *fleet {
	f := &fleet{account: a, running: make([]int, gateways), disconnected: make([]bool, gateways), home: New(gateways, now)}
	for range gateways {
		f.limiters = append(f.limiters, quota.New(gateways))
	}
	return f
}

func (f *fleet) exchange(i int, now time.Time) {
	accounts := f.limiters[i].Demand(1, now)
	if f.disconnected[i] {
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

// Guards against exceeding the overshoot bound stated in package quota before,
// during and after a loss of the home gateway or of the connection to any
// gateways.
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
		reconnection := rapid.IntRange(disruption, 300).Draw(t, "reconnection")
		var accepted []time.Time
		for step := range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch step {
			case disruption:
				f.disrupt(t, gateways, now)
			case reconnection:
				clear(f.disconnected)
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

// disrupt restarts the home gateway or disconnects some gateways from it.
func (f *fleet) disrupt(t *rapid.T, gateways int, now time.Time) {
	if rapid.Bool().Draw(t, "home is lost") {
		f.home = New(gateways, now)
		return
	}
	for i := range f.disconnected {
		f.disconnected[i] = rapid.Bool().Draw(t, "disconnected")
	}
}

// requireRate checks the stated bound on requests in every interval: twice the
// rate plus one burst of each gateway.
func requireRate(t *rapid.T, accepted []time.Time, limit float64, gateways int) {
	bursts := 2*float64(gateways) + 2*limit
	maxUnused := math.Inf(-1)
	for i, at := range accepted {
		allowed := 2 * limit * at.Sub(start).Seconds()
		maxUnused = max(maxUnused, allowed-float64(i))
		require.LessOrEqual(t, float64(i+1)-allowed+maxUnused, bursts+1e-6)
	}
}

func BenchmarkDivide(b *testing.B) {
	for _, gateways := range []int{3, 60, 370} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			h, now := newGrantingHome(gateways)
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
