package selection

import (
	"github.com/flamingohold/flamingohold/internal/process/directory"
)

const (
	// remotePenalty is the load, as a share of an upstream, that is accepted to
	// stay in the data centre.
	remotePenalty = 0.12
	// suspectPenalty and failurePenalty keep away from upstreams that do not
	// answer or fail more often than the best one.
	suspectPenalty = 10.0
	failurePenalty = 4.0
	// tolerableFailures is the excess of the failure rate over the best one that
	// is taken for chance.
	tolerableFailures = 0.2
	// coldPenalty prefers warm upstreams.
	coldPenalty = 0.5
	// unreportedPenalty is the load beyond the mean that an upstream without a
	// report is taken to have.
	unreportedPenalty = 0.4
	// waitingLoad is the load of a prompt that is still to be read: it delays both
	// the next prompt and all generations under way.
	waitingLoad = 0.4
	// pressureFrom is the share of the memory, the request's prompt included, above
	// which requests wait for room, and pressureLoad the load for each further
	// share.
	pressureFrom = 0.95
	pressureLoad = 9.0
	// unreportedShare is the load that one call of this process stands for, as a
	// share of an upstream's slots, if the upstream has not reported.
	unreportedShare = 4.0
)

// Request is what is to be placed.
type Request struct {
	// DataCentre is that of the router.
	DataCentre string
	// Tokens is the memory that the request is expected to need, 0 for a plain
	// request.
	Tokens int
	// MemoryTokens is the memory of an engine, 0 for a plain service.
	MemoryTokens int
	// Exclude holds the upstreams that must not be chosen.
	Exclude map[string]bool
	// StayPenalty replaces the preference for the data centre, 0 for the default.
	StayPenalty float64
}

// Choose returns the best upstream of the views, and false if there is none.
// The function draw returns a number from [0, 1).
func Choose(views []directory.View, r Request, draw func() float64) (directory.View, bool) {
	best := -1
	bestScore := 0.0
	service := overviewOf(views, r)
	for i := range views {
		v := &views[i]
		if r.Exclude[v.ID] || v.Blocked || v.Leaving {
			continue
		}
		score := score(v, r, service) + draw()*jitter
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return directory.View{}, false
	}
	return views[best], true
}

// jitter is the largest random part of a score, as a share of an upstream. It
// keeps routers with equal views apart.
const jitter = 0.08

// overview is what the views say of a service as a whole.
type overview struct {
	// lowestFailures is the failure rate of the best upstream.
	lowestFailures float64
	// reported counts the upstreams that have reported, and load is their mean load.
	reported int
	load     float64
}

func overviewOf(views []directory.View, r Request) overview {
	o := overview{lowestFailures: 1}
	for i := range views {
		v := &views[i]
		if !r.Exclude[v.ID] {
			o.lowestFailures = min(o.lowestFailures, v.FailureRate)
		}
		if v.Reported {
			o.load += Load(v, r.MemoryTokens)
			o.reported++
		}
	}
	if o.reported > 0 {
		o.load /= float64(o.reported)
	}
	return o
}

// loadOf returns the load of the upstream. One that has not reported while
// others have is not empty: all routers find it at the same time.
func (o overview) loadOf(v *directory.View, r Request) float64 {
	load := Load(v, r.MemoryTokens)
	if v.Reported || o.reported == 0 {
		return load
	}
	return max(load, o.load) + unreportedPenalty
}

func score(v *directory.View, r Request, o overview) float64 {
	s := o.loadOf(v, r)
	s += memoryPressure(v, r)
	if v.DataCentre != r.DataCentre {
		penalty := remotePenalty
		if r.StayPenalty > 0 {
			penalty = r.StayPenalty
		}
		s += penalty
	}
	if v.Suspect {
		s += suspectPenalty
	}
	if excess := v.FailureRate - o.lowestFailures; excess > tolerableFailures {
		s += failurePenalty * excess
	}
	if v.Cold {
		s += coldPenalty
	}
	return s
}

// Load returns how full the upstream is, as a share of its slots or of its
// memory, whichever is fuller. The memory of an engine is in tokens, 0 for a
// plain service.
func Load(v *directory.View, memoryTokens int) float64 {
	slots := float64(max(1, v.Slots))
	if !v.Reported {
		load := float64(v.Calls) * unreportedShare / slots
		if memoryTokens > 0 {
			load = max(load, float64(v.Tokens)*unreportedShare/float64(memoryTokens))
		}
		return load
	}
	load := float64(v.Running+v.Waiting) / slots
	if total := max(v.MemoryTotal, memoryTokens); total > 0 {
		load = max(load, float64(v.MemoryUsed)/float64(total))
	}
	return load + waitingLoad*float64(v.Waiting)
}

// HasRoom reports whether the request fits into the upstream's memory and slots
// as far as is known.
func HasRoom(v *directory.View, r Request) bool {
	if !v.Reported {
		return true
	}
	total := max(v.MemoryTotal, r.MemoryTokens)
	return v.Running+v.Waiting < v.Slots && (total == 0 || v.MemoryUsed+r.Tokens <= total)
}

// memoryPressure returns the load that stands for a request's wait for memory,
// and for the generations that yield theirs when it runs out.
func memoryPressure(v *directory.View, r Request) float64 {
	total := max(v.MemoryTotal, r.MemoryTokens)
	if total == 0 || !v.Reported {
		return 0
	}
	used := float64(v.MemoryUsed+r.Tokens) / float64(total)
	return pressureLoad * max(0, used-pressureFrom)
}

// WithRoom returns how many upstreams have room for the request, as far as is
// known.
func WithRoom(views []directory.View, r Request) int {
	n := 0
	for i := range views {
		if HasRoom(&views[i], r) {
			n++
		}
	}
	return n
}
