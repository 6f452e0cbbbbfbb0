package directory

import (
	"math"
	"time"
)

// removedRetention is how long a removed upstream is kept, so that work in
// progress there can be looked up.
const removedRetention = 60 * time.Second

func (u *upstream) isLeaving(now time.Time) bool {
	return u.isRemoved(now) || u.leaving || u.entry.Leaving
}

// isRemoved reports whether the upstream counts as removed.
func (u *upstream) isRemoved(now time.Time) bool {
	return !u.removedAt.IsZero() && !now.Before(u.removedAt)
}

// isReportOf reports whether the report describes this incarnation of the
// upstream. If it describes a later one, this incarnation is marked as
// removed.
func (u *upstream) isReportOf(r Report, now time.Time) bool {
	if r.Incarnation == 0 || u.entry.Incarnation == 0 || r.Incarnation == u.entry.Incarnation {
		return true
	}
	if r.Incarnation > u.entry.Incarnation && u.removedAt.IsZero() {
		u.removedAt = now
	}
	return false
}

// expired reports whether the state of the upstream can be deleted.
func (u *upstream) expired(now time.Time) bool {
	return !u.removedAt.IsZero() && now.Sub(u.removedAt) > removedRetention
}

// failureRate returns the failure rate, which decays exponentially while there
// are no calls.
func (u *upstream) failureRate(now time.Time) float64 {
	idle := now.Sub(u.failuresAt).Seconds()
	if idle <= 0 || u.failures == 0 {
		return u.failures
	}
	return u.failures * math.Exp2(-idle/failureHalfLife.Seconds())
}

// availableColdTokens returns the level of the cold upstream's token bucket, in
// requests.
func (u *upstream) availableColdTokens(rate float64, now time.Time) float64 {
	if u.coldRefilledAt.IsZero() {
		return coldBurstRequests
	}
	return min(coldBurstRequests, u.coldTokens+rate*now.Sub(u.coldRefilledAt).Seconds())
}

func (u *upstream) isCold(rate float64, now time.Time) bool {
	return rate > 0 && now.Before(u.coldUntil)
}

func (u *upstream) takeColdToken(rate float64, now time.Time) bool {
	if !u.isCold(rate, now) {
		return true
	}
	tokens := u.availableColdTokens(rate, now)
	if tokens < 1 {
		return false
	}
	u.coldTokens = tokens - 1
	u.coldRefilledAt = now
	return true
}

func (u *upstream) view(now time.Time, coldRate float64) View {
	v := View{
		ID:               u.entry.ID,
		Address:          u.entry.Address,
		DataCentre:       u.entry.DataCentre,
		Service:          u.entry.Service,
		Incarnation:      u.entry.Incarnation,
		ConcurrencyLimit: u.entry.ConcurrencyLimit,
		Calls:            u.calls,
		Tokens:           u.tokens,
		FailureRate:      u.failureRate(now),
		Suspect:          now.Before(u.suspectUntil) || u.missingFromReport(now) > 0,
		Cold:             u.isCold(coldRate, now),
		Leaving:          u.isLeaving(now),
		Removed:          u.isRemoved(now),
	}
	v.Blocked = v.Cold && u.availableColdTokens(coldRate, now) < 1
	if !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < reportLifetime {
		v.Reported = true
		v.ReportAge = now.Sub(u.reportedAt)
		v.Running = u.report.Running
		v.Waiting = u.report.Waiting + u.callsSinceReport
		v.MemoryUsed = u.report.MemoryUsed + u.tokensSinceReport
		v.MemoryTotal = u.report.MemoryTotal
	}
	return v
}
