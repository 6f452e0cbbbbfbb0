package quota

import (
	"math"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/demand"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

const (
	// minBurst is the least burst, in requests. With 1, the second request of an
	// account would wait for an exchange with the home.
	minBurst = 2
	// burstSpan is the time over which the rate may be used at once.
	burstSpan = time.Second
	// reportAfter is how long an account is reported after it last needed more
	// than half of what it may use.
	reportAfter = 10 * time.Second
	// rateSpan is the averaging time of the measured rate.
	rateSpan = 2 * time.Second
	// idleAfter is how long the state of an unused account is kept.
	idleAfter = time.Minute
)

// bucket is the state of one account at one gateway.
type bucket struct {
	limits account.Account
	// level is the number of requests that may start now, from 0 to the burst.
	level  float64
	filled time.Time
	inUse  int
	// rate is the averaged rate of requests, accepted or not, at measured.
	rate     float64
	measured time.Time
	// refused counts the requests refused since the last report.
	refused int
	// pressed is when the account last needed more than half of its allowance.
	pressed    time.Time
	lease      demand.Share
	leaseUntil time.Time
}

// allowance is what the account may use now.
type allowance struct {
	rate        float64
	burst       float64
	concurrency int
}

func newBucket(limits account.Account, gateways int, now time.Time) *bucket {
	b := &bucket{limits: limits, filled: now, measured: now}
	b.level = b.allowance(gateways, now).burst
	return b
}

// allowance returns the lease's share or the equal share.
func (b *bucket) allowance(gateways int, now time.Time) allowance {
	rate := b.limits.RequestsPerSecond / float64(gateways)
	concurrency := (b.limits.Concurrency + gateways - 1) / gateways
	if b.leased(now) {
		rate = b.lease.Rate
		concurrency = b.lease.Concurrency
	}
	return allowance{rate, max(minBurst, rate*burstSpan.Seconds()), concurrency}
}

func (b *bucket) leased(now time.Time) bool { return now.Before(b.leaseUntil) }

// acquire takes a request. The delay is that after which the next one may
// succeed.
func (b *bucket) acquire(gateways int, now time.Time) (delay time.Duration, ok bool) {
	a := b.allowance(gateways, now)
	b.refill(a, now)
	b.measure(1, now)
	if b.limits.Concurrency > 0 && b.inUse >= a.concurrency {
		return b.refuse(demand.Interval, now)
	}
	if b.limits.RequestsPerSecond > 0 && b.level < 1 {
		return b.refuse(refillTime(1-b.level, a.rate), now)
	}
	b.level = max(0, b.level-1)
	b.inUse++
	if b.limits.RequestsPerSecond > 0 && b.level < a.burst/2 {
		b.pressed = now
	}
	return 0, true
}

func (b *bucket) refuse(delay time.Duration, now time.Time) (time.Duration, bool) {
	b.refused++
	b.pressed = now
	return delay, false
}

// holdsMany reports whether the running requests exceed half of the equal
// share. They are reported as long as they run.
func (b *bucket) holdsMany(gateways int) bool {
	return b.limits.Concurrency > 0 && b.inUse > 1 && 2*b.inUse*gateways > b.limits.Concurrency
}

func (b *bucket) refill(a allowance, now time.Time) {
	elapsed := now.Sub(b.filled)
	if elapsed > 0 {
		b.level += a.rate * elapsed.Seconds()
		b.filled = now
	}
	b.level = min(a.burst, b.level)
}

// measure adds requests to the averaged rate.
func (b *bucket) measure(requests float64, now time.Time) {
	if elapsed := now.Sub(b.measured); elapsed > 0 {
		b.rate *= math.Exp(-elapsed.Seconds() / rateSpan.Seconds())
		b.measured = now
	}
	b.rate += requests / rateSpan.Seconds()
}

// report returns the demand and false if the account needs no report.
func (b *bucket) report(version uint64, gateways int, now time.Time) (demand.Account, bool) {
	if b.holdsMany(gateways) {
		b.pressed = now
	}
	if b.pressed.IsZero() || now.Sub(b.pressed) > reportAfter {
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

// idle reports whether the state can be forgotten.
func (b *bucket) idle(now time.Time) bool {
	return b.inUse == 0 && now.Sub(b.filled) > idleAfter && now.Sub(b.measured) > idleAfter
}

func refillTime(requests, rate float64) time.Duration {
	if rate <= 0 {
		return demand.Interval
	}
	// Rounded up, so that a rounding error of the level gives no delay of zero,
	// which would make the caller repeat at once.
	return time.Duration(math.Ceil(min(requests/rate, idleAfter.Seconds()) * float64(time.Second)))
}
