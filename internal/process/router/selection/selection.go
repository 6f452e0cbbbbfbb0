package selection

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

const (
	// remotePenalty is the penalty for an upstream in another data centre, as a
	// share of an upstream's capacity.
	remotePenalty = 0.12
	// suspectPenalty is the penalty for an upstream that does not answer.
	// failurePenalty is the penalty per unit by which the failure rate exceeds that
	// of the best upstream.
	suspectPenalty = 10.0
	failurePenalty = 4.0
	// toleratedFailureExcess is the excess of the failure rate over that of the
	// best upstream up to which the difference is attributed to chance.
	toleratedFailureExcess = 0.2
	// coldPenalty is the penalty for a cold upstream.
	coldPenalty = 0.5
	// unreportedPenalty is the load above the mean that is assumed for an upstream
	// without a report.
	unreportedPenalty = 0.4
	// waitingLoad is the load of a prompt that has not been processed yet. It
	// delays both the next prompt and all running generations.
	waitingLoad = 0.4
	// pressureThreshold is the share of memory in use, including the request's
	// prompt, above which requests wait for memory. pressureLoad is the load per
	// unit of that share above the threshold.
	pressureThreshold = 0.95
	pressureLoad      = 9.0
	// unreportedCallWeight is the number of calls as which one call of this process
	// counts if the upstream has not reported.
	unreportedCallWeight = 4.0
)

// Request describes the request to place.
type Request struct {
	// DataCentre is the data centre whose upstreams are preferred.
	DataCentre string
	// Tokens is the memory that the request is expected to need, in tokens, 0 for a
	// plain request.
	Tokens int
	// MemoryTokens is the memory of an engine, in tokens, 0 for a plain service.
	MemoryTokens int
	// Exclude holds the upstreams that must not be chosen.
	Exclude map[string]bool
	// RemotePenalty is the penalty for an upstream in another data centre, as a
	// share of an upstream's capacity, 0 for the default.
	RemotePenalty float64
	// MaxEventGap is the longest time between two events that callers accept, 0 for
	// no bound. The pace of upstreams counts only if there is a bound.
	MaxEventGap time.Duration
	// OutputEvents is the number of events that the request is expected to produce
	// from now on, 0 if unknown. Unknown outputs count as short.
	OutputEvents int
	// EventTimes summarises the event times of the service's upstreams. The zero value
	// selects those of the views.
	EventTimes EventTimes
}

// Choose returns the upstream with the lowest score, and false if there is none
// that may be chosen. The function random returns a number from [0, 1).
func Choose(views []directory.View, r Request, random func() float64) (directory.View, bool) {
	best := -1
	bestScore := 0.0
	summary := summarise(views, r)
	for i := range views {
		v := &views[i]
		if !isCandidate(v, &r) {
			continue
		}
		score := score(v, &r, &summary, nil) + random()*MaxJitter
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return directory.View{}, false
	}
	return views[best], true
}

// MaxJitter is the largest random part of a score, as a share of an upstream's
// capacity. It spreads the choices of routers with equal views.
const MaxJitter = 0.08

// serviceSummary aggregates the views of a service.
type serviceSummary struct {
	// lowestFailureRate is the lowest failure rate of an upstream.
	lowestFailureRate float64
	// reportedCount is the number of upstreams with a report, meanLoad their mean
	// load.
	reportedCount int
	meanLoad      float64
	// eventTimes summarises the event times of the upstreams. It is zero if the request
	// does not depend on them.
	eventTimes EventTimes
}

func summarise(views []directory.View, r Request) serviceSummary {
	o := serviceSummary{lowestFailureRate: 1}
	for i := range views {
		v := &views[i]
		if !r.Exclude[v.ID] {
			o.lowestFailureRate = min(o.lowestFailureRate, v.FailureRate)
		}
		if v.Reported {
			o.meanLoad += Load(v, r.MemoryTokens)
			o.reportedCount++
		}
	}
	if o.reportedCount > 0 {
		o.meanLoad /= float64(o.reportedCount)
	}
	if o.eventTimes = r.EventTimes; r.MaxEventGap > 0 && o.eventTimes.Reference <= 0 {
		o.eventTimes = EventTimesOf(views)
	}
	return o
}

// estimatedLoad returns the load of the upstream. An upstream that has not
// reported while others have is not treated as idle, because all routers
// discover it at the same time.
func (o *serviceSummary) estimatedLoad(v *directory.View, memoryTokens int) float64 {
	load := Load(v, memoryTokens)
	if v.Reported || o.reportedCount == 0 {
		return load
	}
	return max(load, o.meanLoad) + unreportedPenalty
}

// score returns the score of the upstream without its random part, and sets its parts
// unless parts is nil. Returning them would slow Choose down, which does not need them.
func score(v *directory.View, r *Request, o *serviceSummary, parts *Parts) float64 {
	load := o.estimatedLoad(v, r.MemoryTokens)
	pressure := memoryPressure(v, r)
	remote, suspect, failures, cold := 0.0, 0.0, 0.0, 0.0
	if v.DataCentre != r.DataCentre {
		remote = remotePenalty
		if r.RemotePenalty > 0 {
			remote = r.RemotePenalty
		}
	}
	if v.Suspect {
		suspect = suspectPenalty
	}
	if excess := v.FailureRate - o.lowestFailureRate; excess > toleratedFailureExcess {
		failures = failurePenalty * excess
	}
	if v.Cold {
		cold = coldPenalty
	}
	pace := 0.0
	if r.MaxEventGap > 0 {
		pace = pacePenalty(v, *r, o.eventTimes)
	}
	if parts != nil {
		*parts = Parts{Load: load, MemoryPressure: pressure, Remote: remote, Suspect: suspect, Failures: failures, Cold: cold, Pace: pace}
	}
	return load + pressure + remote + suspect + failures + cold + pace
}

// Load returns the load of the upstream: the share of its concurrency limit or of
// its memory that is in use, whichever is larger, plus the load of waiting
// prompts. The memory of an engine is in tokens, 0 for a plain service.
func Load(v *directory.View, memoryTokens int) float64 {
	limit := float64(max(1, v.ConcurrencyLimit))
	if !v.Reported {
		load := float64(v.Calls) * unreportedCallWeight / limit
		if memoryTokens > 0 {
			load = max(load, float64(v.Tokens)*unreportedCallWeight/float64(memoryTokens))
		}
		return load
	}
	load := float64(v.Running+v.Waiting) / limit
	if total := max(v.MemoryTotal, memoryTokens); total > 0 {
		load = max(load, float64(v.MemoryUsed)/float64(total))
	}
	return load + waitingLoad*float64(v.Waiting)
}

// HasRoom reports whether the request fits into the upstream's memory and
// concurrency limit. An upstream without a report counts as having room.
func HasRoom(v *directory.View, r Request) bool {
	if !v.Reported {
		return true
	}
	total := max(v.MemoryTotal, r.MemoryTokens)
	return v.Running+v.Waiting < v.ConcurrencyLimit && (total == 0 || v.MemoryUsed+r.Tokens <= total)
}

// memoryPressure returns the load that represents the request's wait for memory,
// and the preemption of running generations when memory runs out.
func memoryPressure(v *directory.View, r *Request) float64 {
	total := max(v.MemoryTotal, r.MemoryTokens)
	if total == 0 || !v.Reported {
		return 0
	}
	used := float64(v.MemoryUsed+r.Tokens) / float64(total)
	return pressureLoad * max(0, used-pressureThreshold)
}

// CountWithRoom returns the number of upstreams that have room for the request;
// those without a report are counted too.
func CountWithRoom(views []directory.View, r Request) int {
	n := 0
	for i := range views {
		if HasRoom(&views[i], r) {
			n++
		}
	}
	return n
}

// isCandidate reports whether the upstream may be chosen.
func isCandidate(v *directory.View, r *Request) bool {
	return !r.Exclude[v.ID] && !v.Blocked && !v.Leaving
}

// HasCandidate reports whether Choose returns an upstream.
func HasCandidate(views []directory.View, r Request) bool {
	for i := range views {
		if isCandidate(&views[i], &r) {
			return true
		}
	}
	return false
}
