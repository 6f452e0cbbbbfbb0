package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// refineStep and refineFraction set when a length is estimated anew: after 16
	// tokens and a quarter of the generated ones.
	refineStep     = 16
	refineFraction = 4
	// preemptionFactor reduces the usable memory after a preemption, down to
	// minFactor. recoveryPerSecond raises it again.
	preemptionFactor  = 0.9
	minFactor         = 0.5
	recoveryPerSecond = 0.005
	// reportLifetime is how long the engine's report counts.
	reportLifetime = 5 * time.Second
	// foreignReports is the number of reports in a row that must show use that
	// the running work does not explain. Engines report with a lag, so that one
	// report still counts work that has just ended.
	foreignReports = 3
)

// memory is the budget of the engine's block memory, in tokens.
type memory struct {
	// capacity is 0 for a plain service.
	capacity int
	// held is the sum of the memory that the running work occupies.
	held int
	// factor is the usable part of the capacity.
	factor float64
	// foreign is the part of the engine's reported use that the running work
	// does not explain.
	foreign int
	// unexplained are the last values of that part.
	unexplained []int
	preemptions uint64
	reported    time.Time
}

func newMemory(capacity int) memory { return memory{capacity: capacity, factor: 1} }

// observe records the engine's report and reports whether its counter of
// preemptions started again, which shows a restart.
func (m *memory) observe(used float64, preemptions uint64, now time.Time) (restarted bool) {
	used = min(max(used, 0), 1)
	m.observeForeign(max(0, int(used*float64(m.capacity))-m.held))
	restarted = preemptions < m.preemptions
	switch {
	case preemptions > m.preemptions && !m.reported.IsZero():
		m.factor = max(minFactor, m.factor*preemptionFactor)
	case !m.reported.IsZero():
		m.factor = min(1, m.factor+recoveryPerSecond*now.Sub(m.reported).Seconds())
	}
	m.preemptions = preemptions
	m.reported = now
	return restarted
}

func (m *memory) observeForeign(tokens int) {
	m.unexplained = append(m.unexplained, tokens)
	if len(m.unexplained) < foreignReports {
		return
	}
	m.unexplained = m.unexplained[len(m.unexplained)-foreignReports:]
	m.foreign = slices.Min(m.unexplained)
}

// expire forgets the engine's report once it is too old.
func (m *memory) expire(now time.Time) {
	if now.Sub(m.reported) > reportLifetime {
		m.foreign = 0
		m.unexplained = m.unexplained[:0]
	}
}

// usable returns the tokens that the running work may occupy.
func (m *memory) usable() int { return int(float64(m.capacity)*m.factor) - m.foreign }

// demand is the memory that one generation occupies and the number of tokens by
// which it grows until it ends and gives it back.
type demand struct {
	held int
	rest int
}

// peak returns the most memory that the generations occupy together at any time
// from now on, if all grow alike and each ends after its rest. The sum of their
// final sizes would count those that end early as long as the others.
func peak(demands []demand) int {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(b.rest, a.rest) })
	highest, held := 0, 0
	for i, d := range demands {
		held += d.held
		highest = max(highest, held+(i+1)*d.rest)
	}
	return highest
}
