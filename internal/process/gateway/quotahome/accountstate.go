package quotahome

import (
	"math"
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
)

// accountState is the division of one account's limits among the gateways.
type accountState struct {
	// limits is the demand with the newest configuration version. Only its name
	// and limits are used.
	limits demand.Account
	// gateways is the number of all gateways, also of those that have not
	// reported demand.
	gateways int
	// reported holds the gateways that have reported demand, by name.
	reported map[string]*gatewayState
}

// gatewayState is the state of a gateway that has reported demand.
type gatewayState struct {
	demand     demand.Account
	reportedAt time.Time
	share      demand.Share
	// expiresAt is when the lease on the share ends.
	expiresAt time.Time
}

// record stores the newest demand of the gateway.
func (a *accountState) record(gateway string, d demand.Account, gateways int, now time.Time) {
	if d.ConfigurationVersion >= a.limits.ConfigurationVersion {
		a.limits = d
	}
	a.gateways = gateways
	g := a.reported[gateway]
	if g == nil {
		g = &gatewayState{}
		a.reported[gateway] = g
	}
	g.demand = d
	g.reportedAt = now
}

// grant returns a new share for the gateway: its fair share, bounded by what
// the shares of the other gateways leave of the limits.
func (a *accountState) grant(gateway string, now time.Time) demand.Share {
	a.expireGateways(now)
	names := a.gatewayNames()
	rates := make([]float64, len(names))
	concurrency := make([]float64, len(names))
	remainingRate := a.limits.RateLimit
	remainingConcurrency := a.limits.ConcurrencyLimit
	index := 0
	for i, name := range names {
		g := a.reported[name]
		rates[i], concurrency[i] = a.demandOf(g, now)
		if name == gateway {
			index = i
			continue
		}
		rate, inUse := a.committed(g, now)
		remainingRate -= rate
		remainingConcurrency -= inUse
	}
	g := a.reported[gateway]
	g.share = demand.Share{
		Name:        a.limits.Name,
		Rate:        max(0, min(maxMinFair(a.limits.RateLimit, rates)[index], remainingRate)),
		Concurrency: max(0, min(a.fairConcurrency(concurrency, index), remainingConcurrency)),
	}
	g.expiresAt = now.Add(demand.LeaseDuration)
	return g.share
}

// fairConcurrency returns the fair share of the concurrency limit for the
// gateway with the index. The shares are rounded down and the remainder is
// assigned to the first gateways in order of name, so that the sum never
// exceeds the limit.
func (a *accountState) fairConcurrency(concurrency []float64, index int) int {
	parts := maxMinFair(float64(a.limits.ConcurrencyLimit), concurrency)
	unassigned := a.limits.ConcurrencyLimit
	for _, p := range parts {
		unassigned -= int(p + roundingTolerance)
	}
	part := int(parts[index] + roundingTolerance)
	if index < unassigned {
		part++
	}
	return part
}

// roundingTolerance absorbs the rounding errors of sums of fractions.
const roundingTolerance = 1e-9

// demandOf returns the rate and concurrency that the gateway would use without
// limits. After its lease has ended without a new report, it is what the
// gateway may be using.
func (a *accountState) demandOf(g *gatewayState, now time.Time) (rate, concurrency float64) {
	if !now.Before(g.reportedAt.Add(demand.LeaseDuration)) {
		rate, inUse := a.committed(g, now)
		return rate, float64(inUse)
	}
	return g.demand.Rate * (1 + headroom), math.Ceil(float64(g.demand.Wanted) * (1 + headroom))
}

// committed returns the rate and concurrency that the gateway may be using: its
// share while the lease is valid, else the equal share.
func (a *accountState) committed(g *gatewayState, now time.Time) (rate float64, concurrency int) {
	if now.Before(g.expiresAt) {
		return g.share.Rate, max(g.share.Concurrency, g.demand.InUse)
	}
	equal := (a.limits.ConcurrencyLimit + a.gateways - 1) / a.gateways
	return a.limits.RateLimit / float64(a.gateways), max(equal, g.demand.InUse)
}

// expireGateways removes the gateways whose last report is older than
// gatewayLifetime.
func (a *accountState) expireGateways(now time.Time) {
	for name, g := range a.reported {
		if now.Sub(g.reportedAt) > gatewayLifetime {
			delete(a.reported, name)
		}
	}
}

// gatewayNames returns the sorted names of the gateways that have reported
// demand.
func (a *accountState) gatewayNames() []string {
	names := make([]string, 0, len(a.reported))
	for name := range a.reported {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// maxMinFair returns the max-min fair shares of the total for the demands. If
// all demands are met, the remainder is divided equally.
func maxMinFair(total float64, demands []float64) []float64 {
	shares := make([]float64, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demands[a] < demands[b] {
			return -1
		}
		return 1
	})
	remaining := total
	for assigned, i := range order {
		shares[i] = min(demands[i], remaining/float64(len(order)-assigned))
		remaining -= shares[i]
	}
	for i := range shares {
		shares[i] += remaining / float64(len(shares))
	}
	return shares
}
