package ramp

import (
	"math"
	"time"
)

const (
	// coldFraction is the limit of a cold upstream as a fraction of the limit of a
	// warm one, at most maxColdLimit attempts.
	coldFraction = 1.0 / 16
	maxColdLimit = 4
	// growthPerUnit is the increase of the limit for each unit of completed work,
	// so that the limit increases by at most half for each round of work.
	growthPerUnit = 0.5
	// evidenceLifetime is the time without completed work after which the limit
	// is halved, and its half-life from then on.
	evidenceLifetime = 30 * time.Second
)

// Ramp is the slow start of one upstream. It is not safe for concurrent use.
type Ramp struct {
	// maxLimit is the limit of a warm upstream.
	maxLimit int
	// warmUpUnits is the work after which an upstream counts as warm, in units.
	warmUpUnits float64
	// remainingWarmUp is the part of warmUpUnits not yet completed, 0 once warm.
	remainingWarmUp float64
	// limit is between ColdLimit and maxLimit.
	limit float64
	// lastEvidence is when work was last completed or the limit was last reduced.
	lastEvidence time.Time
	// epoch counts the resets.
	epoch uint64
}

// New returns the ramp of a cold upstream whose limit rises to maxLimit once it
// is warm. It counts as warm after warmUpUnits units of work.
func New(maxLimit int, warmUpUnits float64, now time.Time) *Ramp {
	r := &Ramp{maxLimit: max(1, maxLimit), warmUpUnits: warmUpUnits}
	r.Reset(now)
	return r
}

// SetMaxLimit replaces the limit of a warm upstream. The limit reached so far
// is kept if it lies within the new bounds.
func (r *Ramp) SetMaxLimit(maxLimit int) {
	r.maxLimit = max(1, maxLimit)
	r.limit = max(float64(r.ColdLimit()), min(float64(r.maxLimit), r.limit))
}

// ColdLimit returns the limit of a cold upstream.
func (r *Ramp) ColdLimit() int {
	return max(1, min(maxColdLimit, int(float64(r.maxLimit)*coldFraction)))
}

// Reset returns to the limit of a cold upstream. Work that started before the
// reset no longer counts.
func (r *Ramp) Reset(now time.Time) {
	r.limit = float64(r.ColdLimit())
	r.remainingWarmUp = r.warmUpUnits
	r.lastEvidence = now
	r.epoch++
}

// SetWarm records that the upstream was detected to be warm.
func (r *Ramp) SetWarm() { r.remainingWarmUp = 0 }

// Epoch returns the number of the period since the last reset. Completed work
// must be recorded with the epoch in which it started.
func (r *Ramp) Epoch() uint64 { return r.epoch }

// Complete records units of work that started in the epoch and were completed
// while the given number of attempts ran at the upstream.
func (r *Ramp) Complete(units float64, epoch uint64, running int, now time.Time) {
	if epoch != r.epoch || !(units > 0) {
		return
	}
	r.age(now)
	r.lastEvidence = now
	if r.remainingWarmUp > 0 {
		r.remainingWarmUp = max(0, r.remainingWarmUp-units)
		return
	}
	if 2*running >= int(r.limit) {
		r.limit = min(float64(r.maxLimit), r.limit+growthPerUnit*units)
	}
}

// Limit returns the number of attempts that may run at once.
func (r *Ramp) Limit(now time.Time) int {
	r.age(now)
	return int(r.limit)
}

// age halves the limit for each evidenceLifetime without completed work.
func (r *Ramp) age(now time.Time) {
	idle := now.Sub(r.lastEvidence)
	if idle < evidenceLifetime {
		return
	}
	lifetimes := int(idle / evidenceLifetime)
	r.limit = max(float64(r.ColdLimit()), r.limit*math.Exp2(-float64(lifetimes)))
	r.lastEvidence = r.lastEvidence.Add(time.Duration(lifetimes) * evidenceLifetime)
}
