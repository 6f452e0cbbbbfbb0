package admission

import "time"

const (
	// refineStep and refineFraction set when a reservation is set anew: after 16
	// tokens and a quarter of the generated ones.
	refineStep     = 16
	refineFraction = 4
	// preemptionFactor reduces the usable memory after a preemption, down to
	// minFactor. recoveryPerSecond raises it again.
	preemptionFactor  = 0.9
	minFactor         = 0.5
	recoveryPerSecond = 0.005
	// reportLifetime is how long the engine's report counts. Engines report with
	// a lag, so that an old report shows work that has ended.
	reportLifetime = 5 * time.Second
)

// memory is the budget of the engine's block memory, in tokens.
type memory struct {
	// capacity is 0 for a plain service.
	capacity int
	// reserved is the sum of the reservations and held the part in use.
	reserved int
	held     int
	// factor is the usable part of the capacity.
	factor float64
	// foreign is the part of the engine's reported use that the running work
	// does not explain.
	foreign     int
	preemptions uint64
	reported    time.Time
}

func newMemory(capacity int) memory { return memory{capacity: capacity, factor: 1} }

// observe records the engine's report and reports whether its counter of
// preemptions started again, which shows a restart.
func (m *memory) observe(used float64, preemptions uint64, now time.Time) (restarted bool) {
	used = min(max(used, 0), 1)
	m.foreign = max(0, int(used*float64(m.capacity))-m.held)
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

// expire forgets the engine's report once it is too old.
func (m *memory) expire(now time.Time) {
	if now.Sub(m.reported) > reportLifetime {
		m.foreign = 0
	}
}

// release gives back what the work holds.
func (m *memory) release(p *place) {
	m.reserved -= p.reserved
	m.held -= p.held()
}

// free returns the tokens that are not set aside, negative if too many are.
func (m *memory) free() int {
	return int(float64(m.capacity)*m.factor) - m.reserved - m.foreign
}

func (m *memory) freeFraction() float64 {
	if m.capacity <= 0 {
		return 1
	}
	return min(1, max(0, float64(m.free())/float64(m.capacity)))
}

// places returns how many more attempts of the mean size of the running ones
// fit, at least one while any memory is free.
func (m *memory) places(running int) int {
	free := m.free()
	if free <= 0 {
		return 0
	}
	mean := max(1, m.reserved/max(1, running))
	return max(1, free/mean)
}
