package membership

import (
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
)

const (
	// leavingHold is how long evidence that an instance leaves outweighs an
	// instance list that shows it live. The list lags; after a withdrawn
	// announcement the instance is used again.
	leavingHold = 60 * time.Second
	// reportHold is how long a sidecar's report that it leaves holds without
	// repetition. A sidecar that has not yet learned of its data centre's return
	// still reports that it leaves, and nobody tells a gateway when that ends; an
	// attempt that comes too early is refused and goes elsewhere.
	reportHold = 3 * time.Second
	// firstEjection doubles with each failure after a probe, up to lastEjection.
	firstEjection = time.Second
	lastEjection  = 30 * time.Second
	// instanceRamp is the time in which a new or recovered instance reaches its
	// full weight.
	instanceRamp = 10 * time.Second
	// minWeight lets probes through.
	minWeight = 0.05
	// departedRetention is how long an instance that left the list is found by
	// name. Streams of long generations and idempotency keys of 900 s refer to it.
	departedRetention = 15 * time.Minute
	// maxLeavingProcesses bounds the memory of an instance whose sidecar restarts
	// again and again.
	maxLeavingProcesses = 4
)

// evidence is a sidecar's own report that it leaves.
type evidence struct {
	until time.Time
	// version is the configuration version in force at the sidecar.
	version uint64
	// processes are the sidecar processes that reported it.
	processes []string
}

// entry is what is known about one incarnation of an instance.
type entry struct {
	instance instance.Instance
	// departed is when the list dropped the instance, zero while it is listed.
	departed time.Time
	// leavingUntil is the end of the hold after the list showed it leaving.
	leavingUntil time.Time
	reported     evidence
	// failures counts ejections without a success between them.
	failures     int
	ejectedUntil time.Time
	// ramp is the start of the ramp, zero if there is none.
	ramp time.Time
}

func newEntry(i instance.Instance, now time.Time) *entry {
	e := new(entry)
	e.update(i, now)
	return e
}

// update takes the same incarnation from a list.
func (e *entry) update(i instance.Instance, now time.Time) {
	e.instance = i
	if i.State != instance.StateLive {
		e.leavingUntil = now.Add(leavingHold)
	}
}

// leaving reports whether any source says that the instance leaves.
func (e *entry) leaving(now time.Time) bool {
	return e.instance.State != instance.StateLive || now.Before(e.leavingUntil) || now.Before(e.reported.until)
}

// observe takes a sidecar's report. A report of readiness ends the evidence only
// if it is known to be later: from another process, or under a later
// configuration, for a sidecar also reports that it leaves while its data centre
// is out of service. Other such reports may have been overtaken. The result is
// true if the entry changed.
func (e *entry) observe(report load.Report, now time.Time) bool {
	known := slices.Contains(e.reported.processes, report.Incarnation)
	switch report.Phase {
	case load.PhaseLeaving:
		e.reported.until = now.Add(reportHold)
		e.reported.version = max(e.reported.version, report.ConfigurationVersion)
		if !known {
			e.reported.processes = append(e.reported.processes, report.Incarnation)
		}
		if surplus := len(e.reported.processes) - maxLeavingProcesses; surplus > 0 {
			e.reported.processes = slices.Delete(e.reported.processes, 0, surplus)
		}
		return true
	case load.PhaseReady:
		later := !known || report.ConfigurationVersion > e.reported.version
		if later && !e.reported.until.IsZero() {
			e.reported.until = time.Time{}
			return true
		}
	}
	return false
}

// fail ejects the instance. Failures during an ejection are of work that began
// before it and do not lengthen it. The result is true if the entry changed.
func (e *entry) fail(now time.Time) bool {
	if e.ejected(now) {
		return false
	}
	ejection := min(firstEjection<<min(e.failures, 10), lastEjection)
	e.failures++
	e.ejectedUntil = now.Add(ejection)
	return true
}

// succeed ends the probing of an instance that failed. Successes during an
// ejection are of work that began before it and prove nothing. The result is
// true if the entry changed.
func (e *entry) succeed(now time.Time) bool {
	if e.failures == 0 || e.ejected(now) {
		return false
	}
	e.failures = 0
	e.ramp = now
	return true
}

// nextChange returns the earliest time after now, and before the bound, at
// which a hold or an ejection ends.
func (e *entry) nextChange(now, bound time.Time) time.Time {
	for _, end := range []time.Time{e.leavingUntil, e.reported.until, e.ejectedUntil} {
		if end.After(now) && end.Before(bound) {
			bound = end
		}
	}
	return bound
}

func (e *entry) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// weight returns the share by the instance's own history.
func (e *entry) weight(now time.Time) float64 {
	if e.failures > 0 {
		return minWeight
	}
	return rampWeight(e.ramp, instanceRamp, now)
}

// rampWeight returns the share that rises linearly from minWeight at the start
// to 1. A zero start means no ramp.
func rampWeight(start time.Time, duration time.Duration, now time.Time) float64 {
	if start.IsZero() {
		return 1
	}
	return min(1, max(minWeight, float64(now.Sub(start))/float64(duration)))
}
