package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// Values of fleet.Policy.Routing.
const (
	loadAware        = "load_aware"
	roundRobin       = "round_robin"
	leastOutstanding = "least_outstanding"
	powerOfTwo       = "power_of_two"
)

// splitMixIncrement is the increment of the SplitMix64 random sequence (2^64
// divided by the golden ratio).
const splitMixIncrement = 0x9e3779b97f4a7c15

const (
	// equalPressureMargin is the difference of pressure, as a share of the limit,
	// up to which two instances count as equally loaded.
	equalPressureMargin = 0.1
	// affinityPressureMargin is how much the pressure of an instance chosen by
	// prefix may exceed that of the instance chosen by load, and
	// affinityMaxPressure is the pressure above which no instance is chosen by
	// prefix. In the trial of docs/trials.md these values had more cache hits than
	// 0.25 and 0.9 at a load of 0.92, and shorter waits.
	affinityPressureMargin = 0.15
	affinityMaxPressure    = 1.0
	// maxRandomDraws is the number of random draws that may be rejected before
	// the candidates are searched in order. A draw is rejected if it returns an
	// excluded or leaving instance, or by the instance's weight.
	maxRandomDraws = 4
	// maxPrefixCandidates is the number of neighbouring instances on the ring that
	// are considered for a prefix.
	maxPrefixCandidates = 16
	// sweepInterval is the minimum time between two removals of stale records.
	sweepInterval = time.Minute
)

// weightSource provides the share of new work that an instance should receive.
type weightSource interface {
	// Weight returns 1 for an instance at full weight, and less than 1 for one
	// that is being returned to service.
	Weight(name string, now time.Time) float64
}

// Router chooses instances for one gateway. It is safe for concurrent use.
type Router struct {
	name    string
	records *records
	// randomState is the state of the SplitMix64 random number generator.
	randomState atomic.Uint64
	// roundRobinPosition is the last position of the round-robin policy.
	roundRobinPosition atomic.Uint64
	policy             atomic.Pointer[fleet.Policy]
	// weights is nil if all instances have full weight.
	weights atomic.Pointer[weightSource]
	// tables holds the table of each service by the service's name. The map is
	// immutable; a changed copy replaces it.
	tables atomic.Pointer[map[string]*table]

	// mu guards the replacement of tables and the fields below.
	mu        sync.Mutex
	position  gatewayPosition
	lastSweep time.Time
}

// New returns a router for the gateway with the name, which must be spelled as in
// the list passed to SetGateways. The seed makes its random choices reproducible.
func New(name string, policy fleet.Policy, seed uint64) *Router {
	r := &Router{
		name:     name,
		records:  newRecords(),
		position: gatewayPosition{index: xxhash.Sum64String(name) >> 32},
	}
	r.randomState.Store(mix(seed))
	r.policy.Store(&policy)
	r.tables.Store(&map[string]*table{})
	return r
}

// SetPolicy replaces the policy.
func (r *Router) SetPolicy(policy fleet.Policy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Store(&policy)
	r.tables.Store(&map[string]*table{})
}

// SetDataCentre sets the gateway's data centre.
func (r *Router) SetDataCentre(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position.dataCentre = name
	r.tables.Store(&map[string]*table{})
}

// SetWeights sets the source of weights, such as membership.View. An instance with
// a weight below 1 receives a reduced share of new work.
func (r *Router) SetWeights(w weightSource) { r.weights.Store(&w) }

// SetGateways sets the names of all gateways, in any order. The router's own name
// is added if it is missing. If all gateways have the same list, their subsets
// overlap as little as possible.
func (r *Router) SetGateways(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := append(slices.Clone(names), r.name)
	slices.Sort(sorted)
	index, _ := slices.BinarySearch(slices.Compact(sorted), r.name)
	r.position.index = uint64(index)
	r.tables.Store(&map[string]*table{})
}

// Choose returns one of the usable instances, which must all be of one service,
// other than those with excluded names. The prefix is a hash of the beginning of
// the prompt, 0 for none. The second result is false if no instance is eligible.
// The caller must not change the list afterwards. Passing the same slice again is
// fastest, because the subset is then reused without comparing the lists.
func (r *Router) Choose(usable []instance.Instance, prefix uint64, excluded []string, now time.Time) (instance.Instance, bool) {
	if len(usable) == 0 {
		return instance.Instance{}, false
	}
	t := r.table(usable, now)
	d := decision{router: r, table: t, excluded: excluded, now: now}
	chosen := d.choose(r.policy.Load(), prefix)
	if chosen == nil {
		chosen = d.randomCandidate(t.fallback())
	}
	if chosen == nil {
		return instance.Instance{}, false
	}
	return chosen.instance, true
}

// ObserveReport records a load report.
func (r *Router) ObserveReport(report load.Report, now time.Time) {
	r.records.getOrCreate(report.Instance).observe(report, now)
}

// LastReport returns the last report of the instance, and false if there is none.
func (r *Router) LastReport(name string) (load.Report, bool) {
	entry := r.records.lookup(name)
	if entry == nil {
		return load.Report{}, false
	}
	o := entry.latest.Load()
	if o == nil {
		return load.Report{}, false
	}
	return o.report, true
}

// BeginAttempt records that an attempt was sent to the instance.
func (r *Router) BeginAttempt(name string) { r.records.addOutstanding(name, 1) }

// EndAttempt records that an attempt at the instance ended.
func (r *Router) EndAttempt(name string) { r.records.addOutstanding(name, -1) }

// Subset returns the names of the usable instances in this gateway's subset.
func (r *Router) Subset(usable []instance.Instance, now time.Time) []string {
	if len(usable) == 0 {
		return nil
	}
	var names []string
	for _, c := range r.table(usable, now).candidates {
		names = append(names, c.instance.Name)
	}
	return names
}

// table returns the table for the usable instances. It creates a new one if they
// have changed.
func (r *Router) table(usable []instance.Instance, now time.Time) *table {
	service := usable[0].Service
	if t := (*r.tables.Load())[service]; t != nil && t.matches(usable) {
		return t
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tables := make(map[string]*table)
	for name, t := range *r.tables.Load() {
		tables[name] = t
	}
	t := newTable(usable, r.position, r.policy.Load().SubsetSize, r.records)
	tables[service] = t
	r.tables.Store(&tables)
	r.sweep(tables, now)
	return t
}

// sweep removes stale records of instances that are in no table. It does nothing
// within sweepInterval of the last sweep.
func (r *Router) sweep(tables map[string]*table, now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	keep := make(map[string]struct{})
	for _, t := range tables {
		for i := range t.usable {
			keep[t.usable[i].Name] = struct{}{}
		}
	}
	r.records.removeStale(keep, now)
}

// weight returns the share of new work that the instance should receive.
func (r *Router) weight(name string, now time.Time) float64 {
	w := r.weights.Load()
	if w == nil {
		return 1
	}
	return (*w).Weight(name, now)
}

// random returns a random number from 0 to n-1.
func (r *Router) random(n int) int {
	return int(mix(r.randomState.Add(splitMixIncrement)) >> 33 * uint64(n) >> 31)
}
