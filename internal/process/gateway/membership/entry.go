package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
)

const (
	// leavingHoldTime is how long an instance counts as leaving after the list
	// last showed it leaving, even if a later list shows it live. Lists may be
	// stale. After this time, an instance whose announcement was withdrawn is used
	// again.
	leavingHoldTime = 60 * time.Second
	// reportHoldTime is how long a sidecar's report that it is leaving stays valid
	// without repetition. A sidecar that does not know yet that its data centre has
	// returned still reports that it is leaving, and gateways are not notified when
	// that ends. A request that is sent too early is refused and retried elsewhere.
	reportHoldTime = 3 * time.Second
	// minEjection is the duration of the first ejection. The duration doubles with
	// each failure after a probe, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// instanceRamp is the time in which a new or recovered instance ramps up to its
	// full weight.
	instanceRamp = 10 * time.Second
	// minWeight is the lowest weight of a usable instance, so that it receives
	// probes.
	minWeight = 0.05
	// departedRetention is how long an instance that is no longer listed can be
	// looked up by name. Streams of long generations and idempotency keys, which
	// last 900 s, refer to it.
	departedRetention = 15 * time.Minute
	// maxLeavingProcesses bounds the number of sidecar processes that are kept for
	// an instance whose sidecar restarts repeatedly.
	maxLeavingProcesses = 4
)

// leavingReport is a sidecar's own report that it is leaving.
type leavingReport struct {
	until time.Time
	// version is the latest configuration version in force at the sidecar.
	version uint64
	// reported holds the latest incarnation in a report that it is leaving, of each
	// sidecar process that sent one.
	reported []incarnation
}

// incarnation is the incarnation in a sidecar's report: its process, and a tick that
// increases while that runs.
type incarnation struct {
	process string
	tick    uint64
}

// parseIncarnation decodes "PROCESS-TICK". Text of another form is a process without
// ticks.
func parseIncarnation(text string) incarnation {
	process, digits, _ := strings.Cut(text, "-")
	tick, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return incarnation{process: text}
	}
	return incarnation{process, tick}
}

// tickOf returns the tick of the process's latest report that it is leaving, and false
// if it has sent none.
func (l *leavingReport) tickOf(process string) (uint64, bool) {
	for _, i := range l.reported {
		if i.process == process {
			return i.tick, true
		}
	}
	return 0, false
}

// record records a report that the process is leaving.
func (l *leavingReport) record(reported incarnation) {
	for n, i := range l.reported {
		if i.process == reported.process {
			l.reported[n].tick = max(i.tick, reported.tick)
			return
		}
	}
	l.reported = append(l.reported, reported)
	if surplus := len(l.reported) - maxLeavingProcesses; surplus > 0 {
		l.reported = slices.Delete(l.reported, 0, surplus)
	}
}

// entry is the state of one incarnation of an instance.
type entry struct {
	instance instance.Instance
	// departed is when the list dropped the instance, zero while it is listed.
	departed time.Time
	// leavingUntil is the end of leavingHoldTime after the list showed the instance
	// leaving.
	leavingUntil  time.Time
	leavingReport leavingReport
	// failures is the number of ejections since the last success.
	failures     int
	ejectedUntil time.Time
	// rampStart is the start of the ramp-up, zero if there is none.
	rampStart time.Time
}

func newEntry(i instance.Instance, now time.Time) *entry {
	e := new(entry)
	e.update(i, now)
	return e
}

// update stores the state that a list shows for the same incarnation.
func (e *entry) update(i instance.Instance, now time.Time) {
	e.instance = i
	if i.State != instance.StateLive {
		e.leavingUntil = now.Add(leavingHoldTime)
	}
}

// leaving reports whether any source shows the instance as leaving.
func (e *entry) leaving(now time.Time) bool {
	return e.instance.State != instance.StateLive || now.Before(e.leavingUntil) || now.Before(e.leavingReport.until)
}

// observe applies a sidecar's report. A report that the sidecar is ready
// cancels an earlier report that it is leaving only if it is known to be newer:
// it is of a process that has sent no report of leaving, or has a later tick or a later
// configuration, because a sidecar also reports that it is leaving while its data
// centre is out of service. Other reports may have arrived out of order. observe
// returns true if the entry changed.
func (e *entry) observe(report load.Report, now time.Time) bool {
	reported := parseIncarnation(report.Incarnation)
	switch report.Phase {
	case load.PhaseLeaving:
		e.leavingReport.until = now.Add(reportHoldTime)
		e.leavingReport.version = max(e.leavingReport.version, report.ConfigurationVersion)
		e.leavingReport.record(reported)
		return true
	case load.PhaseReady:
		tick, known := e.leavingReport.tickOf(reported.process)
		later := !known || reported.tick > tick || report.ConfigurationVersion > e.leavingReport.version
		if later && !e.leavingReport.until.IsZero() {
			e.leavingReport.until = time.Time{}
			return true
		}
	}
	return false
}

// fail ejects the instance. Failures during an ejection belong to earlier work
// and do not extend the ejection. fail returns true if the entry changed.
func (e *entry) fail(now time.Time) bool {
	if e.ejected(now) {
		return false
	}
	ejection := min(minEjection<<min(e.failures, 10), maxEjection)
	e.failures++
	e.ejectedUntil = now.Add(ejection)
	return true
}

// succeed ends the probing of an instance that failed, and starts its ramp-up.
// Successes during an ejection belong to earlier work and are ignored. succeed
// returns true if the entry changed.
func (e *entry) succeed(now time.Time) bool {
	if e.failures == 0 || e.ejected(now) {
		return false
	}
	e.failures = 0
	e.rampStart = now
	return true
}

// nextChange returns the earliest time after now at which a hold time or an
// ejection ends, or the bound if that is earlier.
func (e *entry) nextChange(now, bound time.Time) time.Time {
	for _, end := range []time.Time{e.leavingUntil, e.leavingReport.until, e.ejectedUntil} {
		if end.After(now) && end.Before(bound) {
			bound = end
		}
	}
	return bound
}

func (e *entry) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// weight returns the weight that follows from the instance's own history.
func (e *entry) weight(now time.Time) float64 {
	if e.failures > 0 {
		return minWeight
	}
	return rampWeight(e.rampStart, instanceRamp, now)
}

// rampWeight returns a weight that rises linearly over the duration and is at
// least minWeight and at most 1. A zero start means no ramp.
func rampWeight(start time.Time, duration time.Duration, now time.Time) float64 {
	if start.IsZero() {
		return 1
	}
	return min(1, max(minWeight, float64(now.Sub(start))/float64(duration)))
}
