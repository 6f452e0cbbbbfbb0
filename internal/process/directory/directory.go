package directory

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

const (
	// unconfirmedFor is how long an upstream stays in use after the list lost it
	// while the list was unstable.
	unconfirmedFor = 2 * time.Second
	// suspectFor is how long an upstream that could not be reached is avoided.
	suspectFor = 700 * time.Millisecond
	// failureShare is the weight of the newest call in the failure rate.
	failureShare = 0.15
	// failureHalfLife is the time in which the failure rate of an upstream
	// without calls halves, so that it is tried again.
	failureHalfLife = 2 * time.Second
	// reportLifetime is how long a report of an upstream says anything.
	reportLifetime = 1500 * time.Millisecond
	// coldBurst is the number of requests that a cold upstream gets at once.
	coldBurst = 1.0
)

// Entry is what the instance list says of an upstream.
type Entry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving upstreams get no new work.
	Leaving bool
	// ColdFor is how long the upstream stays cold from the time of the entry.
	ColdFor time.Duration
	// Born identifies the start of the upstream, 0 if unknown.
	Born int64
}

// Report is what an upstream says of itself.
type Report struct {
	// Born identifies the start that the report is of.
	Born int64
	// Leaving is true once the upstream is to leave, LeavesIn is then the time
	// until it does, 0 if unknown.
	Leaving  bool
	LeavesIn time.Duration
	Waiting  int
	Running  int
	// MemoryUsed and MemoryTotal are in tokens.
	MemoryUsed, MemoryTotal int
}

// upstream is what is known of one upstream.
type upstream struct {
	entry Entry
	// goneAt is when the upstream is to be taken as gone, zero for not.
	goneAt time.Time
	// coldUntil is when the upstream is warm.
	coldUntil time.Time
	// coldTokens and coldAt are the bucket of requests of a cold upstream.
	coldTokens float64
	coldAt     time.Time
	// suspectUntil is until when the upstream is avoided.
	suspectUntil time.Time
	// leaving is true if the upstream itself said so.
	leaving bool
	// awaited is when the requests were sent that have brought no event yet.
	awaited []time.Time
	// calls and tokens are the work that this process has there.
	calls  int
	tokens int
	// failures is the failure rate of recent calls, from 0 to 1.
	failures   float64
	failuresAt time.Time
	report     Report
	reportedAt time.Time
	// sinceCalls and sinceTokens are the work begun there since the report.
	sinceCalls  int
	sinceTokens int
}

// Directory is the set of known upstreams. It is safe for concurrent use.
type Directory struct {
	log *eventlog.Log

	mu        sync.Mutex
	upstreams map[string]*upstream
	evacuated map[string]bool
	// coldRate returns the rate of requests for a cold upstream of the service
	// that this process may send, 0 for no bound.
	coldRate func(service string) float64
	// departures is told of upstreams that leave, and doubts of those that this
	// process begins to doubt, with the lock not held.
	departures, doubts func(id string)
}

// New returns an empty directory. The function coldRate returns the requests a
// second that this process may send to a cold upstream of the service, 0 for no
// bound.
func New(log *eventlog.Log, coldRate func(service string) float64) *Directory {
	return &Directory{
		log:        log,
		upstreams:  make(map[string]*upstream),
		evacuated:  make(map[string]bool),
		coldRate:   coldRate,
		departures: func(string) {},
		doubts:     func(string) {},
	}
}

// OnDeparture sets the function that is told of upstreams that begin to leave.
// It must be called before the directory is in use.
func (d *Directory) OnDeparture(f func(id string)) { d.departures = f }

// List takes over an entry of the instance list.
func (d *Directory) List(e Entry, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[e.ID]
	if u == nil || (u.entry.Born != e.Born && e.Born != 0) || u.entry.Address != e.Address {
		u = &upstream{entry: e}
		d.upstreams[e.ID] = u
		d.log.Emit(eventlog.UpstreamListed).Str("upstream", e.ID).Str("service", e.Service).
			Str("address", e.Address).Str("data_centre", e.DataCentre).Int64("born", e.Born).Send()
	}
	wasLeaving := u.isLeaving(now)
	u.entry = e
	u.goneAt = time.Time{}
	d.supersede(u, now)
	if e.ColdFor > 0 {
		u.coldUntil = now.Add(e.ColdFor)
	}
	departed := !wasLeaving && u.isLeaving(now)
	d.mu.Unlock()
	if departed {
		d.departed(e.ID, "list")
	}
}

// supersede takes the upstream, or others, for gone if one that was born later
// has the same address: the list still names a former start of it.
func (d *Directory) supersede(u *upstream, now time.Time) {
	if u.entry.Born == 0 {
		return
	}
	for _, other := range d.upstreams {
		if other == u || other.entry.Address != u.entry.Address || other.entry.Born == 0 {
			continue
		}
		older := other
		if u.entry.Born < other.entry.Born {
			older = u
		}
		if older.goneAt.IsZero() {
			older.goneAt = now
			d.log.Emit(eventlog.UpstreamSuperseded).Str("upstream", older.entry.ID).Str("address", older.entry.Address).
				Int64("born", older.entry.Born).Send()
		}
	}
}

// Unlist takes the upstream off the list: at once, or after a while if the list
// was unstable when it lost the upstream.
func (d *Directory) Unlist(id string, unconfirmed bool, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[id]
	if u == nil {
		d.mu.Unlock()
		return
	}
	wasLeaving := u.isLeaving(now)
	u.goneAt = now
	if unconfirmed {
		u.goneAt = now.Add(unconfirmedFor)
	}
	d.mu.Unlock()
	d.log.Emit(eventlog.UpstreamGone).Str("upstream", id).Bool("unconfirmed", unconfirmed).Send()
	if !wasLeaving && !unconfirmed {
		d.departed(id, "unlisted")
	}
}

func (d *Directory) departed(id, source string) {
	d.log.Emit(eventlog.UpstreamLeaving).Str("upstream", id).Str("source", source).Send()
	d.departures(id)
}

// Report takes over what the upstream says of itself.
func (d *Directory) Report(id string, r Report, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[id]
	if u == nil || !u.isReportOf(r, now) {
		d.mu.Unlock()
		return
	}
	wasLeaving := u.isLeaving(now)
	u.report = r
	u.reportedAt = now
	u.sinceCalls, u.sinceTokens = 0, 0
	if r.Leaving {
		u.leaving = true
	}
	departed := !wasLeaving && u.isLeaving(now)
	d.mu.Unlock()
	if departed {
		d.departed(id, "report")
	}
}

// SetEvacuated sets whether the data centre is out of service.
func (d *Directory) SetEvacuated(dataCentre string, out bool) {
	d.mu.Lock()
	changed := d.evacuated[dataCentre] != out
	if out {
		d.evacuated[dataCentre] = true
	} else {
		delete(d.evacuated, dataCentre)
	}
	d.mu.Unlock()
	if !changed {
		return
	}
	event := eventlog.DataCentreRestored
	if out {
		event = eventlog.DataCentreEvacuated
	}
	d.log.Emit(event).Str("data_centre", dataCentre).Send()
}

// Begin records that work of about the given number of tokens goes to the
// upstream. It returns false if a cold upstream must not get it now.
func (d *Directory) Begin(id string, tokens int, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return false
	}
	if !u.spendCold(d.coldRate(u.entry.Service), now) {
		return false
	}
	u.calls++
	u.tokens += tokens
	u.sinceCalls++
	u.sinceTokens += tokens
	return true
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

// Outcome records whether a call succeeded.
func (d *Directory) Outcome(id string, failed bool, now time.Time) {
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
	u.failures = u.failureRate(now)*(1-failureShare) + sample*failureShare
	u.failuresAt = now
}

// Unreachable records that no connection to the upstream could be opened.
func (d *Directory) Unreachable(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[id]; u != nil {
		u.suspectUntil = now.Add(suspectFor)
	}
}

// Misaddressed records that another upstream answers at the address of this
// one, which is therefore gone.
func (d *Directory) Misaddressed(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[id]; u != nil {
		u.goneAt = now
	}
}

// Service returns the views of all upstreams of the service that may get new
// work.
func (d *Directory) Service(service string, now time.Time) []View {
	views, doubted := d.service(service, now)
	for _, id := range doubted {
		d.tellDoubt(id, "unaccounted")
	}
	return views
}

// service also returns the upstreams that this process begins to doubt.
func (d *Directory) service(service string, now time.Time) (views []View, doubted []string) {
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
		if u.unaccounted(now) > 0 && u.doubt(now) {
			doubted = append(doubted, id)
		}
		views = append(views, u.view(now, d.coldRate(service)))
	}
	return views, doubted
}

// Known reports whether the list names any upstream.
func (d *Directory) Known() bool {
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
	return u.view(now, 0), true
}

// All returns the views of all upstreams, whether or not they may get work.
func (d *Directory) All(now time.Time) []View {
	d.mu.Lock()
	defer d.mu.Unlock()
	views := make([]View, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		views = append(views, u.view(now, 0))
	}
	return views
}

func (d *Directory) usable(u *upstream, now time.Time) bool {
	return !u.isLeaving(now) && !d.evacuated[u.entry.DataCentre]
}
