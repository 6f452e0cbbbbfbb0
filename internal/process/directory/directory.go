package directory

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

const (
	// restoredDistrust is how long what a store that was restored from a copy says is
	// not believed where this process knows it to be newer. Upstreams and operators
	// write it again in that time.
	restoredDistrust = 10 * time.Second
	// unconfirmedRetention is how long an upstream stays in use after the list
	// dropped it while the list was unstable.
	unconfirmedRetention = 2 * time.Second
	// unreachableCooldown is how long an unreachable upstream is avoided.
	unreachableCooldown = 700 * time.Millisecond
	// failureWeight is the weight of the newest call in the moving average of
	// failures.
	failureWeight = 0.15
	// failureHalfLife is the half-life of the failure rate of an upstream without
	// calls. The decay lets the upstream be tried again.
	failureHalfLife = 2 * time.Second
	// reportLifetime is how long a report of an upstream is valid.
	reportLifetime = 1500 * time.Millisecond
	// coldBurstRequests is the burst size of the token bucket of a cold upstream.
	coldBurstRequests = 1.0
)

// Entry is the entry of an upstream in the instance list.
type Entry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// ConcurrencyLimit is the number of requests that the upstream holds at once.
	ConcurrencyLimit int
	// Leaving is true if the upstream is about to stop; it gets no new work.
	Leaving bool
	// ColdDuration is how long the upstream stays cold, from the time of the entry.
	ColdDuration time.Duration
	// Incarnation identifies the incarnation of the upstream, 0 if unknown. A later
	// incarnation has a higher value.
	Incarnation int64
	// Sequence increases with each entry of an incarnation.
	Sequence int64
}

// Report is the state of an upstream as it reports it.
type Report struct {
	// Incarnation identifies the incarnation that the report describes.
	Incarnation int64
	// Leaving is true once the upstream is about to stop. TimeUntilDeparture is
	// then the time until it stops, 0 if unknown.
	Leaving            bool
	TimeUntilDeparture time.Duration
	Waiting            int
	Running            int
	// MemoryUsed and MemoryTotal are in tokens.
	MemoryUsed, MemoryTotal int
}

// upstream is the state of one upstream.
type upstream struct {
	entry Entry
	// removedAt is the time from which the upstream counts as removed, zero for
	// never.
	removedAt time.Time
	// distrustedUntil is the end of the time in which the entry is not believed,
	// because it is older than one known before.
	distrustedUntil time.Time
	// coldUntil is the time from which the upstream is warm.
	coldUntil time.Time
	// coldTokens and coldRefilledAt are the level of the token bucket that limits
	// requests to a cold upstream, and the time of that level.
	coldTokens     float64
	coldRefilledAt time.Time
	// suspectUntil is the end of the time in which the upstream is avoided.
	suspectUntil time.Time
	// leaving is true if the upstream itself reported that it leaves.
	leaving bool
	// unansweredSince holds the send time of each generation that has returned no
	// event yet.
	unansweredSince []time.Time
	// calls and tokens are the work in progress that this process has sent to the
	// upstream.
	calls  int
	tokens int
	// failures is the failure rate of recent calls, from 0 to 1.
	failures   float64
	failuresAt time.Time
	report     Report
	reportedAt time.Time
	// callsSinceReport and tokensSinceReport are the work that this process has
	// sent to the upstream since its last report.
	callsSinceReport  int
	tokensSinceReport int
}

// Directory is the set of known upstreams. It is safe for concurrent use.
type Directory struct {
	log *eventlog.Log

	mu        sync.Mutex
	upstreams map[string]*upstream
	// evacuated holds the data centres that are out of service, each with the time at
	// which it returns to service, zero if that is not known.
	evacuated map[string]time.Time
	coldRate  ColdRate
	// onDeparture is called for each upstream that starts to leave, onSuspect for
	// each upstream that this process starts to suspect. Neither is called with the
	// lock held.
	onDeparture, onSuspect func(id string)
}

// ColdRate returns the rate, in requests per second, at which this process may send
// to a cold upstream of the service, and false if there is no bound.
type ColdRate func(service, upstream string) (perSecond float64, bounded bool)

// New returns an empty directory.
func New(log *eventlog.Log, coldRate ColdRate) *Directory {
	return &Directory{
		log:         log,
		upstreams:   make(map[string]*upstream),
		evacuated:   make(map[string]time.Time),
		coldRate:    coldRate,
		onDeparture: func(string) {},
		onSuspect:   func(string) {},
	}
}

// OnDeparture sets the function that is called for each upstream that starts to
// leave. OnDeparture must be called before the directory is in use.
func (d *Directory) OnDeparture(f func(id string)) { d.onDeparture = f }

// Upsert adds or updates the upstream of an entry of the instance list.
func (d *Directory) Upsert(e Entry, now time.Time) { d.upsert(e, time.Time{}, now) }

// Restore adds or updates the upstream of an entry of an instance list that was
// restored from a copy. An entry that is older than the one known is ignored. If the
// upstream is known to be leaving or removed, it gets no new work for a while, in
// which it writes its entry again, and is then used if the list still contains it.
func (d *Directory) Restore(e Entry, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[e.ID]
	outdated := u != nil && u.knowsNewer(e, now)
	ignored := outdated && (e.Incarnation < u.entry.Incarnation || !u.entry.Leaving && u.removedAt.IsZero())
	distrusted := outdated && (u.entry.Leaving || u.isRemoved(now))
	d.mu.Unlock()
	if outdated {
		d.log.Emit(eventlog.ItemOutdated).Str("upstream", e.ID).Int64("incarnation", e.Incarnation).Int64("sequence", e.Sequence).
			Bool("ignored", ignored).Bool("distrusted", distrusted).Send()
	}
	switch {
	case ignored:
	case distrusted:
		d.upsert(e, now.Add(restoredDistrust), now)
	default:
		d.upsert(e, time.Time{}, now)
	}
}

func (d *Directory) upsert(e Entry, distrustedUntil, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[e.ID]
	if u == nil || (u.entry.Incarnation != e.Incarnation && e.Incarnation != 0) || u.entry.Address != e.Address {
		u = &upstream{entry: e}
		d.upstreams[e.ID] = u
		d.log.Emit(eventlog.UpstreamListed).Str("upstream", e.ID).Str("service", e.Service).
			Str("address", e.Address).Str("data_centre", e.DataCentre).Int64("born", e.Incarnation).Send()
	}
	wasLeaving := u.isLeaving(now)
	u.entry = e
	u.removedAt = time.Time{}
	u.distrustedUntil = distrustedUntil
	d.markSuperseded(u, now)
	if e.ColdDuration > 0 {
		u.coldUntil = now.Add(e.ColdDuration)
	}
	startedLeaving := !wasLeaving && u.isLeaving(now)
	d.mu.Unlock()
	if startedLeaving {
		d.notifyDeparture(e.ID, "list")
	}
}

// markSuperseded marks the earlier of two incarnations with the same address as
// removed. The list may still name an earlier incarnation after a restart.
func (d *Directory) markSuperseded(u *upstream, now time.Time) {
	if u.entry.Incarnation == 0 {
		return
	}
	for _, other := range d.upstreams {
		if other == u || other.entry.Address != u.entry.Address || other.entry.Incarnation == 0 {
			continue
		}
		earlier := other
		if u.entry.Incarnation < other.entry.Incarnation {
			earlier = u
		}
		if earlier.removedAt.IsZero() {
			earlier.removedAt = now
			d.log.Emit(eventlog.UpstreamSuperseded).Str("upstream", earlier.entry.ID).Str("address", earlier.entry.Address).
				Int64("born", earlier.entry.Incarnation).Send()
		}
	}
}

// MarkRemoved records that the list no longer names the upstream, which then
// counts as removed: at once, or after unconfirmedRetention if the list was
// unstable.
func (d *Directory) MarkRemoved(id string, unconfirmed bool, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[id]
	if u == nil {
		d.mu.Unlock()
		return
	}
	wasLeaving := u.isLeaving(now)
	u.removedAt = now
	if unconfirmed {
		u.removedAt = now.Add(unconfirmedRetention)
	}
	d.mu.Unlock()
	d.log.Emit(eventlog.UpstreamGone).Str("upstream", id).Bool("unconfirmed", unconfirmed).Send()
	if !wasLeaving && !unconfirmed {
		d.notifyDeparture(id, "unlisted")
	}
}

func (d *Directory) notifyDeparture(id, source string) {
	d.log.Emit(eventlog.UpstreamLeaving).Str("upstream", id).Str("source", source).Send()
	d.onDeparture(id)
}

// ObserveReport records the report of an upstream.
func (d *Directory) ObserveReport(id string, r Report, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[id]
	if u == nil || !u.isReportOf(r, now) {
		d.mu.Unlock()
		return
	}
	wasLeaving := u.isLeaving(now)
	u.report = r
	u.reportedAt = now
	u.callsSinceReport, u.tokensSinceReport = 0, 0
	if r.Leaving {
		u.leaving = true
	}
	startedLeaving := !wasLeaving && u.isLeaving(now)
	d.mu.Unlock()
	if startedLeaving {
		d.notifyDeparture(id, "report")
	}
}

// SetEvacuated sets whether the data centre is out of service.
func (d *Directory) SetEvacuated(dataCentre string, evacuated bool) {
	d.mu.Lock()
	_, wasEvacuated := d.evacuated[dataCentre]
	if evacuated {
		d.evacuated[dataCentre] = time.Time{}
	} else {
		delete(d.evacuated, dataCentre)
	}
	d.mu.Unlock()
	if evacuated == wasEvacuated {
		return
	}
	event := eventlog.DataCentreRestored
	if evacuated {
		event = eventlog.DataCentreEvacuated
	}
	d.log.Emit(event).Str("data_centre", dataCentre).Send()
}

// ForgetEvacuation records that a store which was restored from a copy no longer
// says that the data centre is out of service. It returns to service after a while,
// unless the store says so again.
func (d *Directory) ForgetEvacuation(dataCentre string, now time.Time) {
	d.mu.Lock()
	_, evacuated := d.evacuated[dataCentre]
	if evacuated {
		d.evacuated[dataCentre] = now.Add(restoredDistrust)
	}
	d.mu.Unlock()
	if evacuated {
		d.log.Emit(eventlog.ItemOutdated).Str("data_centre", dataCentre).Dur("returns_in", restoredDistrust).Send()
	}
}

// isEvacuated reports whether the data centre is out of service.
func (d *Directory) isEvacuated(dataCentre string, now time.Time) bool {
	end, evacuated := d.evacuated[dataCentre]
	return evacuated && (end.IsZero() || now.Before(end))
}

// Begin admits a request with work of about the given number of tokens to the
// upstream and records the work. It returns false as Admit does.
func (d *Directory) Begin(id string, tokens int, now time.Time) bool {
	if !d.Admit(id, now) {
		return false
	}
	d.Add(id, tokens)
	return true
}

// Admit reports whether a request may be sent to the upstream. It returns false if
// the upstream is unknown, or if it is cold and its rate is used up.
func (d *Directory) Admit(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	return u != nil && u.takeColdToken(d.coldRate, now)
}

// Add records that work of about the given number of tokens is sent to the
// upstream, for a request that was admitted.
func (d *Directory) Add(id string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return
	}
	u.calls++
	u.tokens += tokens
	u.callsSinceReport++
	u.tokensSinceReport += tokens
}

// End records that the work has ended.
func (d *Directory) End(id string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return
	}
	u.calls = max(0, u.calls-1)
	u.tokens = max(0, u.tokens-tokens)
}

// RecordOutcome records whether a call succeeded.
func (d *Directory) RecordOutcome(id string, failed bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return
	}
	sample := 0.0
	if failed {
		sample = 1
	}
	u.failures = u.failureRate(now)*(1-failureWeight) + sample*failureWeight
	u.failuresAt = now
}

// MarkUnreachable records that the upstream could not be reached.
func (d *Directory) MarkUnreachable(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[id]; u != nil {
		u.suspectUntil = now.Add(unreachableCooldown)
	}
}

// MarkMisaddressed records that another upstream responds at the address of
// this one, which therefore counts as removed.
func (d *Directory) MarkMisaddressed(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[id]; u != nil {
		u.removedAt = now
	}
}

// Service returns the views of all upstreams of the service that may get new
// work.
func (d *Directory) Service(service string, now time.Time) []View {
	views, suspected := d.service(service, now)
	for _, id := range suspected {
		d.shareSuspect(id, "unaccounted")
	}
	return views
}

// service returns the views, and the IDs of the upstreams that this process
// starts to suspect.
func (d *Directory) service(service string, now time.Time) (views []View, suspected []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, u := range d.upstreams {
		if u.expired(now) {
			delete(d.upstreams, id)
			continue
		}
		if u.entry.Service != service || !d.usable(u, now) {
			continue
		}
		if u.missingFromReport(now) > 0 && u.markSuspect(now) {
			suspected = append(suspected, id)
		}
		views = append(views, u.view(now, d.coldRate))
	}
	return views, suspected
}

// HasUpstreams reports whether the directory holds any upstream.
func (d *Directory) HasUpstreams() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.upstreams) > 0
}

// Upstream returns the view of one upstream, whether or not it may get work.
func (d *Directory) Upstream(id string, now time.Time) (View, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return View{}, false
	}
	return u.view(now, d.coldRate), true
}

// All returns the views of all upstreams, whether or not they may get work.
func (d *Directory) All(now time.Time) []View {
	d.mu.Lock()
	defer d.mu.Unlock()
	views := make([]View, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		views = append(views, u.view(now, d.coldRate))
	}
	return views
}

func (d *Directory) usable(u *upstream, now time.Time) bool {
	return !u.isLeaving(now) && !d.isEvacuated(u.entry.DataCentre, now)
}
