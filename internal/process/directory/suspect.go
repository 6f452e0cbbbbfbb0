package directory

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

const (
	// reportDelay is the time after which the upstream's report must include a
	// request that was sent to it.
	reportDelay = 300 * time.Millisecond
	// minSuspectTime is how long an upstream that did not answer a request is
	// avoided at least. A random time of up to maxSuspectJitter is added, so that
	// the routers do not all retry it at once.
	minSuspectTime   = 1500 * time.Millisecond
	maxSuspectJitter = 3 * time.Second
)

// OnSuspect sets the function that is called for each upstream that this process
// starts to suspect. OnSuspect must be called before the directory is in use.
func (d *Directory) OnSuspect(f func(id string)) { d.onSuspect = f }

// MarkSuspect records that the upstream accepted a request and closed the
// connection without a response.
func (d *Directory) MarkSuspect(id string, now time.Time) {
	if d.markSuspect(id, now) {
		d.shareSuspect(id, "unanswered")
	}
}

// MarkSuspectByPeer records that another router suspects the upstream.
func (d *Directory) MarkSuspectByPeer(id string, now time.Time) {
	if d.markSuspect(id, now) {
		d.logSuspect(id, "shared")
	}
}

// markSuspect marks the upstream as suspect. It returns false if the upstream is
// unknown or is already suspect.
func (d *Directory) markSuspect(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	return u != nil && u.markSuspect(now)
}

// shareSuspect logs that this process suspects the upstream, and calls
// onSuspect.
func (d *Directory) shareSuspect(id, source string) {
	d.logSuspect(id, source)
	d.onSuspect(id)
}

func (d *Directory) logSuspect(id, source string) {
	d.log.Emit(eventlog.UpstreamSuspected).Str("upstream", id).Str("source", source).Send()
}

// markSuspect returns false if the upstream is already suspect.
func (u *upstream) markSuspect(now time.Time) bool {
	if now.Before(u.suspectUntil) {
		return false
	}
	u.suspectUntil = now.Add(minSuspectTime + rand.N(maxSuspectJitter))
	return true
}

// TrackUnanswered records that a generation was sent to the upstream and has
// returned no event yet. The caller must call answered at the first event or at
// the end of the request; further calls do nothing.
func (d *Directory) TrackUnanswered(id string, now time.Time) (answered func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return func() {}
	}
	u.unansweredSince = append(u.unansweredSince, now)
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if i := slices.Index(u.unansweredSince, now); i >= 0 {
			u.unansweredSince = slices.Delete(u.unansweredSince, i, i+1)
		}
	})
}

// missingFromReport returns the number of requests of this process that were
// sent at least reportDelay ago and that the upstream does not report as
// waiting. Such an upstream accepts requests without processing them.
func (u *upstream) missingFromReport(now time.Time) int {
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) >= reportLifetime {
		return 0
	}
	overdue := 0
	for _, at := range u.unansweredSince {
		if now.Sub(at) >= reportDelay {
			overdue++
		}
	}
	return max(0, overdue-u.report.Waiting)
}
