package directory

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/drainnotice"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

const (
	// restoredDistrust is how long what a store that was restored from a copy says is
	// not believed where this process knows it to be newer. Upstreams and operators
	// write it again in that time.
	restoredDistrust = 10 * time.Second
	// unconfirmedRetention is how long an upstream stays in use after the list
	// dropped it while the list was unstable. A removed upstream may get requests for
	// 2 s, of which the news of its removal takes a part.
	unconfirmedRetention = 1500 * time.Millisecond
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
	// EventTime is the median time between two events of a run, 0 if unknown.
	EventTime time.Duration
	// Runs lists the runs that have produced an event, if the report comes from the
	// upstream itself.
	Runs []Run
}

// Run is one generation in the report of an upstream.
type Run struct {
	ID string
	// MemoryTokens is the memory that the run occupies, in tokens.
	MemoryTokens int
	// Events is the number of events that the run has produced.
	Events int
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
	// leaving is true if the upstream itself has said, in a report or an answer, that
	// it leaves. It never becomes false.
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
	// notices holds which upstreams have said in an answer that they leave. It outlives
	// the state of the upstreams.
	notices  *drainnotice.Notices
	coldRate ColdRate
	// roomFreed is closed by the next report of an upstream that has more room than
	// before, nil if nobody waits for one.
	roomFreed chan struct{}
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
		notices:     drainnotice.New(),
		coldRate:    coldRate,
		onDeparture: func(string) {},
		onSuspect:   func(string) {},
	}
}

// OnDeparture sets the function that is called for each upstream that starts to
// leave. OnDeparture must be called before the directory is in use.
func (d *Directory) OnDeparture(f func(id string)) { d.onDeparture = f }

// ObserveReport records the report of an upstream.
func (d *Directory) ObserveReport(id string, r Report, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[id]
	if u == nil || !u.isReportOf(r, now) {
		d.mu.Unlock()
		return
	}
	if r.Waiting < u.report.Waiting || r.Running < u.report.Running || r.MemoryUsed < u.report.MemoryUsed {
		d.notifyRoomFreed()
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

// RoomFreed returns a channel that is closed by the next report of an upstream that has
// fewer prompts or generations, or less memory in use, than in its report before.
func (d *Directory) RoomFreed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.roomFreed == nil {
		d.roomFreed = make(chan struct{})
	}
	return d.roomFreed
}

// notifyRoomFreed closes the channel of RoomFreed. The lock must be held.
func (d *Directory) notifyRoomFreed() {
	if d.roomFreed != nil {
		close(d.roomFreed)
		d.roomFreed = nil
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

// Inspect returns the views that Service returns, and those of the service's upstreams
// that may get no new work: they are leaving, or else their data centre is out of
// service. It changes nothing, as it serves explanations: it neither suspects upstreams
// nor deletes removed ones.
func (d *Directory) Inspect(service string, now time.Time) (usable, unusable []View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		switch {
		case u.entry.Service != service || u.expired(now):
		case d.usable(u, now):
			usable = append(usable, u.view(now, d.coldRate))
		default:
			unusable = append(unusable, u.view(now, d.coldRate))
		}
	}
	return usable, unusable
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
