package directory

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

const (
	// settleTime is how long after its send a request must be part of the
	// upstream's report.
	settleTime = 300 * time.Millisecond
	// doubtFor is how long an upstream that did not answer a request is avoided,
	// and doubtSpread the longest random time beyond it, so that the routers do
	// not all try it again at once.
	doubtFor    = 1500 * time.Millisecond
	doubtSpread = 3 * time.Second
)

// OnDoubt sets the function that is told of upstreams that this process begins
// to doubt. It must be called before the directory is in use.
func (d *Directory) OnDoubt(f func(id string)) { d.doubts = f }

// Doubt records that the upstream took a request and ended its connection
// without an answer.
func (d *Directory) Doubt(id string, now time.Time) {
	if d.beginDoubt(id, now) {
		d.tellDoubt(id, "unanswered")
	}
}

// SharedDoubt records that another router doubts the upstream.
func (d *Directory) SharedDoubt(id string, now time.Time) {
	if d.beginDoubt(id, now) {
		d.logDoubt(id, "shared")
	}
}

// beginDoubt returns false if the upstream is unknown or avoided already.
func (d *Directory) beginDoubt(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	return u != nil && u.doubt(now)
}

// tellDoubt tells others of a doubt of this process.
func (d *Directory) tellDoubt(id, source string) {
	d.logDoubt(id, source)
	d.doubts(id)
}

func (d *Directory) logDoubt(id, source string) {
	d.log.Emit(eventlog.UpstreamDoubted).Str("upstream", id).Str("source", source).Send()
}

// doubt returns false if the upstream is avoided already.
func (u *upstream) doubt(now time.Time) bool {
	if now.Before(u.suspectUntil) {
		return false
	}
	u.suspectUntil = now.Add(doubtFor + rand.N(doubtSpread))
	return true
}

// Await records that a generation was sent to the upstream and has brought no
// event yet. The function that it returns must be called at the first event or
// at the end of the request; further calls do nothing.
func (d *Directory) Await(id string, now time.Time) (heard func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return func() {}
	}
	u.awaited = append(u.awaited, now)
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if i := slices.Index(u.awaited, now); i >= 0 {
			u.awaited = slices.Delete(u.awaited, i, i+1)
		}
	})
}

// unaccounted returns how many requests of this process the upstream has had for
// some time without counting them among its prompts: it takes them and does not
// work on them.
func (u *upstream) unaccounted(now time.Time) int {
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) >= reportLifetime {
		return 0
	}
	settled := 0
	for _, at := range u.awaited {
		if now.Sub(at) >= settleTime {
			settled++
		}
	}
	return max(0, settled-u.report.Waiting)
}
