package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// refineStep (tokens) and refineFraction set when the expected length is next
	// estimated: after 16 tokens plus a quarter of the tokens generated so far.
	refineStep     = 16
	refineFraction = 4
	// preemptionFactor multiplies the usable fraction of memory after a
	// preemption, down to minFactor. recoveryPerSecond is the fraction added back
	// per second without preemptions.
	preemptionFactor  = 0.9
	minFactor         = 0.5
	recoveryPerSecond = 0.005
	// reportLifetime is how long an engine report remains valid.
	reportLifetime = 5 * time.Second
	// unattributedReports is the number of consecutive reports that must show
	// memory use beyond that of the running work. Engine reports lag, so a single
	// report may still include work that has just ended.
	unattributedReports = 3
)

// memory tracks the budget of the engine's block memory, in tokens.
type memory struct {
	// capacity is the block memory, 0 for a plain service.
	capacity int
	// occupied is the memory that all running work occupies.
	occupied int
	// factor is the usable fraction of the capacity.
	factor float64
	// unattributed is the part of the engine's reported use that exceeds the
	// memory of the running work.
	unattributed int
	// recentUnattributed holds that excess for the latest reports.
	recentUnattributed []int
	preemptions        uint64
	reportedAt         time.Time
}

func newMemory(capacity int) memory { return memory{capacity: capacity, factor: 1} }

// observe records an engine report. It returns whether the preemption counter
// decreased, which means that the engine restarted.
func (m *memory) observe(used float64, preemptions uint64, now time.Time) (restarted bool) {
	used = min(max(used, 0), 1)
	m.observeUnattributed(max(0, int(used*float64(m.capacity))-m.occupied))
	restarted = preemptions < m.preemptions
	switch {
	case preemptions > m.preemptions && !m.reportedAt.IsZero():
		m.factor = max(minFactor, m.factor*preemptionFactor)
	case !m.reportedAt.IsZero():
		m.factor = min(1, m.factor+recoveryPerSecond*now.Sub(m.reportedAt).Seconds())
	}
	m.preemptions = preemptions
	m.reportedAt = now
	return restarted
}

func (m *memory) observeUnattributed(tokens int) {
	m.recentUnattributed = append(m.recentUnattributed, tokens)
	if len(m.recentUnattributed) < unattributedReports {
		return
	}
	m.recentUnattributed = m.recentUnattributed[len(m.recentUnattributed)-unattributedReports:]
	m.unattributed = slices.Min(m.recentUnattributed)
}

// expire discards the reported use once the last report is too old.
func (m *memory) expire(now time.Time) {
	if now.Sub(m.reportedAt) > reportLifetime {
		m.unattributed = 0
		m.recentUnattributed = m.recentUnattributed[:0]
	}
}

// usable returns the tokens that the running work may occupy.
func (m *memory) usable() int { return int(float64(m.capacity)*m.factor) - m.unattributed }

// demand is the memory that one generation occupies and the number of tokens by
// which it still grows before it ends and releases the memory.
type demand struct {
	occupied  int
	remaining int
}

// peak returns the maximum memory that the generations occupy together at any
// time from now on, if all grow at the same rate and each ends after its
// remaining tokens. The sum of their final sizes would overestimate it, because
// generations that end early release their memory before the others reach their
// final size.
func peak(demands []demand) int {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(b.remaining, a.remaining) })
	highest, occupied := 0, 0
	for i, d := range demands {
		occupied += d.occupied
		highest = max(highest, occupied+(i+1)*d.remaining)
	}
	return highest
}
