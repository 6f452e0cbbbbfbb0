package directory

import (
	"math"
	"time"
)

// removedRetention is how long a removed upstream is kept, so that work in
// progress there can be looked up.
const removedRetention = 60 * time.Second

func (u *upstream) isLeaving(now time.Time) bool {
	return u.isRemoved(now) || u.leaving || u.entry.Leaving || now.Before(u.distrustedUntil)
}

// knowsNewer reports whether this process knows more than the entry says: a later
// incarnation, a later entry of the same one, or that it was removed.
func (u *upstream) knowsNewer(e Entry, now time.Time) bool {
	if e.Incarnation != u.entry.Incarnation {
		return e.Incarnation < u.entry.Incarnation
	}
	return u.wroteLater(e) || e.Sequence == u.entry.Sequence && u.isRemoved(now)
}

// wroteLater reports whether the incarnation of the entry wrote the one known later.
func (u *upstream) wroteLater(e Entry) bool {
	return e.Incarnation == u.entry.Incarnation && e.Sequence < u.entry.Sequence
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

// availableColdTokens returns the level of the cold upstream's token bucket, in requests.
// The second result is false if the upstream is not cold or its rate is not bounded.
func (u *upstream) availableColdTokens(rate ColdRate, now time.Time) (tokens float64, bounded bool) {
	if !now.Before(u.coldUntil) {
		return 0, false
	}
	perSecond, bounded := rate(u.entry.Service, u.entry.ID)
	switch {
	case !bounded || perSecond <= 0:
		return 0, bounded
	case u.coldRefilledAt.IsZero():
		return coldBurstRequests, true
	default:
		return min(coldBurstRequests, u.coldTokens+perSecond*now.Sub(u.coldRefilledAt).Seconds()), true
	}
}

func (u *upstream) takeColdToken(rate ColdRate, now time.Time) bool {
	tokens, bounded := u.availableColdTokens(rate, now)
	if !bounded {
		return true
	}
	if tokens < 1 {
		return false
	}
	u.coldTokens = tokens - 1
	u.coldRefilledAt = now
	return true
}

func (u *upstream) view(now time.Time, coldRate ColdRate) View {
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
		Leaving:          u.isLeaving(now),
		Removed:          u.isRemoved(now),
	}
	tokens, cold := u.availableColdTokens(coldRate, now)
	v.Cold = cold
	v.Blocked = cold && tokens < 1
	if !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < reportLifetime {
		v.Reported = true
		v.ReportAge = now.Sub(u.reportedAt)
		v.Running = u.report.Running
		v.Waiting = u.report.Waiting + u.callsSinceReport
		v.MemoryUsed = u.report.MemoryUsed + u.tokensSinceReport
		v.MemoryTotal = u.report.MemoryTotal
		v.EventTime = u.report.EventTime
	}
	return v
}
