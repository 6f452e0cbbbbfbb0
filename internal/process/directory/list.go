package directory

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/drainnotice"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
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

// Upsert adds or updates the upstream of an entry of the instance list. An entry that
// was written before the one known, and arrives after it, is ignored.
func (d *Directory) Upsert(e Entry, now time.Time) {
	if d.isLate(e) {
		d.logOutdated(e, true, false)
		return
	}
	d.upsert(e, time.Time{}, now)
}

// isLate reports whether the upstream wrote the entry before the one known. Another
// incarnation is never late: the time of day at its start may have been set back.
func (d *Directory) isLate(e Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[e.ID]
	return u != nil && u.wroteLater(e)
}

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
		d.logOutdated(e, ignored, distrusted)
	}
	switch {
	case ignored:
	case distrusted:
		d.upsert(e, now.Add(restoredDistrust), now)
	default:
		d.upsert(e, time.Time{}, now)
	}
}

func (d *Directory) logOutdated(e Entry, ignored, distrusted bool) {
	d.log.Emit(eventlog.ItemOutdated).Str("upstream", e.ID).Int64("incarnation", e.Incarnation).Int64("sequence", e.Sequence).
		Bool("ignored", ignored).Bool("distrusted", distrusted).Send()
}

func (d *Directory) upsert(e Entry, distrustedUntil, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[e.ID]
	if u == nil || (u.entry.Incarnation != e.Incarnation && e.Incarnation != 0) || u.entry.Address != e.Address {
		u = &upstream{entry: e, leaving: d.notices.Covers(drainnotice.Notice{ID: e.ID, Incarnation: e.Incarnation})}
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
// counts as removed: at once, or after unconfirmedRetention if the list may soon name
// it again. A further removal does not postpone an earlier one.
func (d *Directory) MarkRemoved(id string, unconfirmed bool, now time.Time) {
	d.mu.Lock()
	u := d.upstreams[id]
	if u == nil {
		d.mu.Unlock()
		return
	}
	wasLeaving := u.isLeaving(now)
	removedAt := now
	if unconfirmed {
		removedAt = now.Add(unconfirmedRetention)
	}
	if u.removedAt.IsZero() || removedAt.Before(u.removedAt) {
		u.removedAt = removedAt
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
