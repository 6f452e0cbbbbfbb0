package directory

import "time"

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
// the upstream is unknown or leaving, or if it is cold and its rate is used up.
func (d *Directory) Admit(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	return u != nil && !u.isLeaving(now) && u.takeColdToken(d.coldRate, now)
}

// IsUsable reports whether the upstream of the view may still get new work.
func (d *Directory) IsUsable(v View, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[v.ID]
	return u != nil && u.entry.Address == v.Address && d.usable(u, now)
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
