package quota

import (
	"math"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

const (
	// minBurst is the minimum burst, in requests. With 1, the second request of an
	// account would have to wait for a share from the home gateway.
	minBurst = 2
	// burstPeriod is the period whose requests, at the allowed rate, may start at
	// once.
	burstPeriod = time.Second
	// reportDuration is how long an account is reported after it last needed more
	// than half of its allowance.
	reportDuration = 10 * time.Second
	// averagingTime is the time constant of the measured rate.
	averagingTime = 2 * time.Second
	// idleLifetime is how long the state of an unused account is kept.
	idleLifetime = time.Minute
)

// bucket is the token bucket and the lease of one account at one gateway.
type bucket struct {
	limits account.Account
	// level is the number of requests that may start now, from 0 to the burst.
	level      float64
	refilledAt time.Time
	// inUse is the number of running requests.
	inUse int
	// rate is the average requests per second, accepted or not, at measuredAt.
	rate       float64
	measuredAt time.Time
	// refused counts the requests refused since the last report.
	refused int
	// highUseAt is when the account last needed more than half of its allowance.
	highUseAt  time.Time
	lease      demand.Share
	leaseUntil time.Time
}

// allowance is what the account may use at one time: requests per second, a
// burst in requests, and running requests.
type allowance struct {
	rate        float64
	burst       float64
	concurrency int
}

func newBucket(limits account.Account, gateways int, now time.Time) *bucket {
	b := &bucket{limits: limits, refilledAt: now, measuredAt: now}
	b.level = b.allowance(gateways, now).burst
	return b
}

// allowance returns the share of the lease while it is valid, else the equal
// share.
func (b *bucket) allowance(gateways int, now time.Time) allowance {
	rate := b.limits.RequestsPerSecond / float64(gateways)
	concurrency := (b.limits.Concurrency + gateways - 1) / gateways
	if b.leased(now) {
		rate = b.lease.Rate
		concurrency = b.lease.Concurrency
	}
	return allowance{rate, max(minBurst, rate*burstPeriod.Seconds()), concurrency}
}

func (b *bucket) leased(now time.Time) bool { return now.Before(b.leaseUntil) }

// acquire starts a request if the allowance permits. If it does not, delay is
// the time after which a retry may succeed.
func (b *bucket) acquire(gateways int, now time.Time) (delay time.Duration, ok bool) {
	a := b.allowance(gateways, now)
	b.refill(a, now)
	b.measure(1, now)
	if b.limits.Concurrency > 0 && b.inUse >= a.concurrency {
		return b.refuse(demand.ReportInterval, now)
	}
	if b.limits.RequestsPerSecond > 0 && b.level < 1 {
		return b.refuse(refillTime(1-b.level, a.rate), now)
	}
	b.level = max(0, b.level-1)
	b.inUse++
	if b.limits.RequestsPerSecond > 0 && b.level < a.burst/2 {
		b.highUseAt = now
	}
	return 0, true
}

// refuse counts a refused request.
func (b *bucket) refuse(delay time.Duration, now time.Time) (time.Duration, bool) {
	b.refused++
	b.highUseAt = now
	return delay, false
}

// exceedsHalfShare reports whether there are at least two running requests and
// they exceed half of the equal share. Such an account is reported while they
// run.
func (b *bucket) exceedsHalfShare(gateways int) bool {
	return b.limits.Concurrency > 0 && b.inUse > 1 && 2*b.inUse*gateways > b.limits.Concurrency
}

func (b *bucket) refill(a allowance, now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed > 0 {
		b.level += a.rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.level = min(a.burst, b.level)
}

// measure adds requests to the average rate.
func (b *bucket) measure(requests float64, now time.Time) {
	if elapsed := now.Sub(b.measuredAt); elapsed > 0 {
		b.rate *= math.Exp(-elapsed.Seconds() / averagingTime.Seconds())
		b.measuredAt = now
	}
	b.rate += requests / averagingTime.Seconds()
}

// report returns the demand of the account, or false if it needs no report.
func (b *bucket) report(version uint64, gateways int, now time.Time) (demand.Account, bool) {
	if b.exceedsHalfShare(gateways) {
		b.highUseAt = now
	}
	if b.highUseAt.IsZero() || now.Sub(b.highUseAt) > reportDuration {
		return demand.Account{}, false
	}
	b.measure(0, now)
	d := demand.Account{
		Name:                 b.limits.Name,
		RateLimit:            b.limits.RequestsPerSecond,
		ConcurrencyLimit:     b.limits.Concurrency,
		ConfigurationVersion: version,
		Rate:                 math.Round(b.rate*100) / 100,
		InUse:                b.inUse,
		Wanted:               b.inUse + b.refused,
	}
	b.refused = 0
	return d, true
}

// idle reports whether the state can be removed.
func (b *bucket) idle(now time.Time) bool {
	return b.inUse == 0 && now.Sub(b.refilledAt) > idleLifetime && now.Sub(b.measuredAt) > idleLifetime
}

// refillTime returns the time in which the rate yields the requests, at most
// idleLifetime.
func refillTime(requests, rate float64) time.Duration {
	if rate <= 0 {
		return demand.ReportInterval
	}
	// Rounded up, so that a rounding error of the level does not lead to a delay
	// of zero, with which the caller would retry immediately.
	return time.Duration(math.Ceil(min(requests/rate, idleLifetime.Seconds()) * float64(time.Second)))
}
