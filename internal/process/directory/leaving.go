package directory

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/drainnotice"
)

// Sources from which this process learns that an upstream leaves.
const (
	sourceAnswer = "answer"
	sourcePeer   = "peer"
)

// MarkLeaving records that the incarnation of the upstream has said in an answer that
// it leaves. Nothing but a later incarnation cancels that. MarkLeaving returns false
// if it was known.
func (d *Directory) MarkLeaving(id string, incarnation int64, now time.Time) bool {
	return d.markLeaving(drainnotice.Notice{ID: id, Incarnation: incarnation}, sourceAnswer, now)
}

// MarkLeavingAt is MarkLeaving for the latest upstream at the address.
func (d *Directory) MarkLeavingAt(address string, now time.Time) {
	if latest, known := d.latestAt(address); known {
		d.MarkLeaving(latest.ID, latest.Incarnation, now)
	}
}

// latestAt returns the entry of the latest upstream at the address, and false if there is
// none.
func (d *Directory) latestAt(address string) (latest Entry, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		if u.entry.Address == address && (!known || u.entry.Incarnation > latest.Incarnation) {
			latest, known = u.entry, true
		}
	}
	return latest, known
}

func (d *Directory) markLeaving(n drainnotice.Notice, source string, now time.Time) bool {
	d.mu.Lock()
	if !d.notices.Record(n, now) {
		d.mu.Unlock()
		return false
	}
	u := d.upstreams[n.ID]
	startedLeaving := false
	if u != nil && u.entry.Incarnation <= n.Incarnation {
		startedLeaving = !u.isLeaving(now)
		u.leaving = true
	}
	d.mu.Unlock()
	if startedLeaving {
		d.notifyDeparture(n.ID, source)
	}
	return true
}

// SharedNotices returns the notices of leaving upstreams for other routers, and a
// digest of them.
func (d *Directory) SharedNotices(now time.Time) ([]drainnotice.Notice, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.Shared(now)
}

// MergeNotices adds the notices of another router.
func (d *Directory) MergeNotices(shared []drainnotice.Notice, now time.Time) {
	for _, n := range shared {
		d.markLeaving(n, sourcePeer, now)
	}
}
