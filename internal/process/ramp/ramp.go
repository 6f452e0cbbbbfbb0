package ramp

import (
	"math"
	"time"
)

const (
	// coldFraction and coldMaximum give the limit of a cold upstream.
	coldFraction = 1.0 / 16
	coldMaximum  = 4
	// growth is the rise of the limit for each unit of completed work, so that
	// the limit rises by at most half for each round of work.
	growth = 0.5
	// evidenceLifetime is the time without completed work after which the limit
	// is halved, and its half-life from then on.
	evidenceLifetime = 30 * time.Second
)

// Ramp is the slow start of one upstream. It is not safe for concurrent use.
type Ramp struct {
	// full is the limit of a warm upstream.
	full int
	// hold is the work after which an upstream counts as warm, in units.
	hold float64
	// held is the part of hold that is still to be completed, 0 once warm.
	held float64
	// limit is from Cold to full.
	limit float64
	// evidence is when the limit was last shown to be right or aged.
	evidence time.Time
	// epoch counts the resets.
	epoch uint64
}

// New returns the ramp of a cold upstream whose limit is full once it is warm.
// It counts as warm after hold units of work.
func New(full int, hold float64, now time.Time) *Ramp {
	r := &Ramp{full: max(1, full), hold: hold}
	r.Reset(now)
	return r
}

// SetFull replaces the limit of a warm upstream. What the upstream was shown to
// bear stays.
func (r *Ramp) SetFull(full int) {
	r.full = max(1, full)
	r.limit = max(float64(r.Cold()), min(float64(r.full), r.limit))
}

// Cold returns the limit of a cold upstream.
func (r *Ramp) Cold() int {
	return max(1, min(coldMaximum, int(float64(r.full)*coldFraction)))
}

// Reset returns to the limit of a cold upstream. Work that started before it
// no longer counts.
func (r *Ramp) Reset(now time.Time) {
	r.limit = float64(r.Cold())
	r.held = r.hold
	r.evidence = now
	r.epoch++
}

// SetWarm records that the upstream was seen to turn warm.
func (r *Ramp) SetWarm() { r.held = 0 }

// Epoch identifies the time since the last reset. Work must be reported with
// the epoch in which it started.
func (r *Ramp) Epoch() uint64 { return r.epoch }

// Complete records units of work that started in the epoch and were completed
// while the upstream held running attempts.
func (r *Ramp) Complete(units float64, epoch uint64, running int, now time.Time) {
	if epoch != r.epoch || !(units > 0) {
		return
	}
	r.age(now)
	r.evidence = now
	if r.held > 0 {
		r.held = max(0, r.held-units)
		return
	}
	if 2*running >= int(r.limit) {
		r.limit = min(float64(r.full), r.limit+growth*units)
	}
}

// Limit returns the number of attempts that may run at once.
func (r *Ramp) Limit(now time.Time) int {
	r.age(now)
	return int(r.limit)
}

// age halves the limit for each lifetime without evidence.
func (r *Ramp) age(now time.Time) {
	idle := now.Sub(r.evidence)
	if idle < evidenceLifetime {
		return
	}
	lifetimes := int(idle / evidenceLifetime)
	r.limit = max(float64(r.Cold()), r.limit*math.Exp2(-float64(lifetimes)))
	r.evidence = r.evidence.Add(time.Duration(lifetimes) * evidenceLifetime)
}
