package quotahome

import (
	"math"
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/demand"
)

// ledger is the division of one account.
type ledger struct {
	// limits is the demand with the newest configuration version, for its
	// limits.
	limits    demand.Account
	gateways  int
	reporters map[string]*reporter
}

// reporter is a gateway that reported demand.
type reporter struct {
	demand demand.Account
	heard  time.Time
	share  demand.Share
	// until is when the share is no longer in force.
	until time.Time
}

func (l *ledger) record(gateway string, d demand.Account, gateways int, now time.Time) {
	if d.ConfigurationVersion >= l.limits.ConfigurationVersion {
		l.limits = d
	}
	l.gateways = gateways
	r := l.reporters[gateway]
	if r == nil {
		r = &reporter{}
		l.reporters[gateway] = r
	}
	r.demand = d
	r.heard = now
}

// grant returns the gateway's fair part, as far as the others' shares leave it.
func (l *ledger) grant(gateway string, now time.Time) demand.Share {
	l.forget(now)
	names := l.names()
	rates := make([]float64, len(names))
	places := make([]float64, len(names))
	left := l.limits.RateLimit
	leftPlaces := l.limits.ConcurrencyLimit
	self := 0
	for i, name := range names {
		r := l.reporters[name]
		rates[i], places[i] = l.wishes(r, now)
		if name == gateway {
			self = i
			continue
		}
		rate, inUse := l.committed(r, now)
		left -= rate
		leftPlaces -= inUse
	}
	r := l.reporters[gateway]
	r.share = demand.Share{
		Name:        l.limits.Name,
		Rate:        max(0, min(divide(l.limits.RateLimit, rates)[self], left)),
		Concurrency: max(0, min(l.fairPlaces(places, self), leftPlaces)),
	}
	r.until = now.Add(demand.Lease)
	return r.share
}

// fairPlaces returns the part of the concurrency limit. Rounding never exceeds
// the limit in sum, because places that are left over go to the first in order.
func (l *ledger) fairPlaces(places []float64, self int) int {
	parts := divide(float64(l.limits.ConcurrencyLimit), places)
	over := l.limits.ConcurrencyLimit
	for _, p := range parts {
		over -= int(p + roundingSlack)
	}
	part := int(parts[self] + roundingSlack)
	if self < over {
		part++
	}
	return part
}

// roundingSlack absorbs the error of sums of fractions.
const roundingSlack = 1e-9

// wishes returns what the gateway would use if it could.
func (l *ledger) wishes(r *reporter, now time.Time) (rate, places float64) {
	if !now.Before(r.heard.Add(demand.Lease)) {
		rate, inUse := l.committed(r, now)
		return rate, float64(inUse)
	}
	return r.demand.Rate * (1 + headroom), math.Ceil(float64(r.demand.Wanted) * (1 + headroom))
}

// committed returns what the gateway may be using.
func (l *ledger) committed(r *reporter, now time.Time) (rate float64, places int) {
	if now.Before(r.until) {
		return r.share.Rate, max(r.share.Concurrency, r.demand.InUse)
	}
	equal := (l.limits.ConcurrencyLimit + l.gateways - 1) / l.gateways
	return l.limits.RateLimit / float64(l.gateways), max(equal, r.demand.InUse)
}

// forget drops the gateways that have not reported for long.
func (l *ledger) forget(now time.Time) {
	for name, r := range l.reporters {
		if now.Sub(r.heard) > memory {
			delete(l.reporters, name)
		}
	}
}

func (l *ledger) names() []string {
	names := make([]string, 0, len(l.reporters))
	for name := range l.reporters {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// divide returns the max-min fair parts of the total for the wishes. What is
// left when all wishes are met is divided equally.
func divide(total float64, wishes []float64) []float64 {
	parts := make([]float64, len(wishes))
	order := make([]int, len(wishes))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if wishes[a] < wishes[b] {
			return -1
		}
		return 1
	})
	left := total
	for done, i := range order {
		parts[i] = min(wishes[i], left/float64(len(order)-done))
		left -= parts[i]
	}
	for i := range parts {
		parts[i] += left / float64(len(parts))
	}
	return parts
}
