package selection

import (
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

const (
	// minPacedEvents is the number of expected events from which an output is long
	// enough to meet slow events.
	minPacedEvents = 8
	// slowRatio is the ratio of an engine's event time to the reference above which the
	// engine counts as slow.
	slowRatio = 1.25
	// gapMultiple is the factor by which an interval grows when the engine is in
	// prefill, which doubles a step, and is slowed to 0.4 of its pace for a short time.
	gapMultiple = 5.0
	// referenceDivisor sets the reference: one in referenceDivisor engines has an event
	// time of the reference or less. With the median as reference, engines would not
	// count as slow where most are.
	referenceDivisor = 8
	// slowPenalty is the penalty for a slow engine whose event time, multiplied by
	// gapMultiple, is the request's MaxEventGap. It outweighs the load of a full
	// engine: 1 for its memory, 1.35 for the pressure of a prompt of a tenth of its
	// memory, and the random part of the score.
	slowPenalty = 2.5
	// maxSlowPenalty is the load of a full engine with a waiting prompt. Further
	// prompts there wait for memory and preempt runs, which causes gaps as well.
	maxSlowPenalty = 4.0
	// maxRelativePace bounds the weight of waiting prompts at an engine by its pace.
	maxRelativePace = 4.0
	// stackEventTimes is the number of event times that are sorted without an
	// allocation. A router follows 32 reporters and those of engines in use.
	stackEventTimes = 256
)

// EventTimes summarises the known event times of a service's upstreams.
type EventTimes struct {
	// Reference is the event time that the fastest eighth of the upstreams do not
	// exceed, and Median that which half of them do not. Both are 0 if none is known.
	Reference, Median time.Duration
}

// AreUneven reports whether half of the upstreams are slow in relation to the fastest.
func (e EventTimes) AreUneven() bool {
	return e.Reference > 0 && float64(e.Median) > slowRatio*float64(e.Reference)
}

// EventTimesOf returns the summary of the views.
func EventTimesOf(views []directory.View) EventTimes {
	var buffer [stackEventTimes]time.Duration
	known := buffer[:0]
	if len(views) > len(buffer) {
		known = make([]time.Duration, 0, len(views))
	}
	for i := range views {
		if views[i].EventTime > 0 {
			known = append(known, views[i].EventTime)
		}
	}
	if len(known) == 0 {
		return EventTimes{}
	}
	slices.Sort(known)
	return EventTimes{Reference: known[(len(known)-1)/referenceDivisor], Median: known[(len(known)-1)/2]}
}

// IsLong reports whether the output of the request is expected to be long enough to meet
// slow events.
func IsLong(r Request) bool { return r.OutputEvents >= minPacedEvents }

// KeepsGap reports whether the upstream is predicted to keep the gap: its event time
// multiplied by gapMultiple is not above it.
func KeepsGap(v *directory.View, gap time.Duration) bool {
	return gapMultiple*float64(v.EventTime) <= float64(gap)
}

// pacePenalty returns the part of the score that depends on the pace of the upstream.
// An upstream whose event time is unknown counts as one with the median. The penalty is
// 0 if the request has no MaxEventGap or if the event time is the reference.
func pacePenalty(v *directory.View, r Request, known EventTimes) float64 {
	if r.MaxEventGap <= 0 || known.Reference <= 0 {
		return 0
	}
	eventTime := v.EventTime
	if eventTime <= 0 {
		eventTime = known.Median
	}
	ratio := float64(eventTime) / float64(known.Reference)
	if !IsLong(r) {
		return waitingPenalty(v, ratio)
	}
	return slowEnginePenalty(eventTime, r, ratio)
}

// waitingPenalty returns the load of the waiting prompts that is due to the pace of
// the upstream, whose prefill is as slow as its events.
func waitingPenalty(v *directory.View, ratio float64) float64 {
	weight := min(maxRelativePace, max(1/maxRelativePace, ratio))
	return waitingLoad * float64(v.Waiting) * (weight - 1)
}

// slowEnginePenalty returns the penalty for an upstream whose ratio to the
// reference exceeds slowRatio. It grows with the sixth power of the share of the gap,
// since an engine far below it is hardly a risk, and with that ratio.
func slowEnginePenalty(eventTime time.Duration, r Request, ratio float64) float64 {
	if ratio <= slowRatio {
		return 0
	}
	share := gapMultiple * float64(eventTime) / float64(r.MaxEventGap)
	cube := share * share * share
	return min(maxSlowPenalty, slowPenalty*cube*cube*ratio/slowRatio)
}
