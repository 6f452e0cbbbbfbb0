package directory

import (
	"math"
	"time"
)

// keepGone is how long an upstream that is gone is remembered, so that work in
// progress there can be looked up.
const keepGone = 60 * time.Second

func (u *upstream) isLeaving(now time.Time) bool {
	return u.isGone(now) || u.leaving || u.entry.Leaving
}

// isGone reports whether the list no longer names the upstream.
func (u *upstream) isGone(now time.Time) bool {
	return !u.goneAt.IsZero() && !now.Before(u.goneAt)
}

// isReportOf reports whether the report is of this start of the upstream. One
// that was born later at the same address takes its place.
func (u *upstream) isReportOf(r Report, now time.Time) bool {
	if r.Born == 0 || u.entry.Born == 0 || r.Born == u.entry.Born {
		return true
	}
	if r.Born > u.entry.Born && u.goneAt.IsZero() {
		u.goneAt = now
	}
	return false
}

// expired reports whether the upstream can be forgotten.
func (u *upstream) expired(now time.Time) bool {
	return !u.goneAt.IsZero() && now.Sub(u.goneAt) > keepGone
}

// failureRate returns the rate of failures, which decays while there are no
// calls.
func (u *upstream) failureRate(now time.Time) float64 {
	idle := now.Sub(u.failuresAt).Seconds()
	if idle <= 0 || u.failures == 0 {
		return u.failures
	}
	return u.failures * math.Exp2(-idle/failureHalfLife.Seconds())
}

// refillCold returns the requests that a cold upstream may get now.
func (u *upstream) refillCold(rate float64, now time.Time) float64 {
	if u.coldAt.IsZero() {
		return coldBurst
	}
	return min(coldBurst, u.coldTokens+rate*now.Sub(u.coldAt).Seconds())
}

func (u *upstream) isCold(rate float64, now time.Time) bool {
	return rate > 0 && now.Before(u.coldUntil)
}

func (u *upstream) spendCold(rate float64, now time.Time) bool {
	if !u.isCold(rate, now) {
		return true
	}
	tokens := u.refillCold(rate, now)
	if tokens < 1 {
		return false
	}
	u.coldTokens = tokens - 1
	u.coldAt = now
	return true
}

func (u *upstream) view(now time.Time, coldRate float64) View {
	v := View{
		ID:          u.entry.ID,
		Address:     u.entry.Address,
		DataCentre:  u.entry.DataCentre,
		Service:     u.entry.Service,
		Born:        u.entry.Born,
		Slots:       u.entry.Slots,
		Calls:       u.calls,
		Tokens:      u.tokens,
		FailureRate: u.failureRate(now),
		Suspect:     now.Before(u.suspectUntil) || u.unaccounted(now) > 0,
		Cold:        u.isCold(coldRate, now),
		Leaving:     u.isLeaving(now),
		Gone:        u.isGone(now),
	}
	v.Blocked = v.Cold && u.refillCold(coldRate, now) < 1
	if !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < reportLifetime {
		v.Reported = true
		v.ReportAge = now.Sub(u.reportedAt)
		v.Running = u.report.Running
		v.Waiting = u.report.Waiting + u.sinceCalls
		v.MemoryUsed = u.report.MemoryUsed + u.sinceTokens
		v.MemoryTotal = u.report.MemoryTotal
	}
	return v
}
