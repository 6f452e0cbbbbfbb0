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

// Names of the policies in fleet.Policy.
const (
	loadAware        = "load_aware"
	roundRobin       = "round_robin"
	leastOutstanding = "least_outstanding"
	powerOfTwo       = "power_of_two"
)

// increment is the step of the random sequence (2^64 divided by the golden
// ratio).
const increment = 0x9e3779b97f4a7c15

const (
	// equalLoad is the difference of pressure up to which two instances count as
	// equally loaded.
	equalLoad = 0.1
	// affinityLoad is how much more pressure than an instance chosen by load an
	// instance chosen by prefix may have, and affinityMaximum the pressure up to
	// which it is chosen at all. In the trial of docs/trials.md these values had
	// more cache hits than 0.25 and 0.9 at a load of 0.92, and shorter waits.
	affinityLoad    = 0.15
	affinityMaximum = 1.0
	// samples is the number of random draws that may hit an excluded or leaving
	// instance before all are searched.
	samples = 4
	// neighbours is the number of instances that compete for a prefix.
	neighbours = 16
	// sweepInterval is the least time between two searches for old records.
	sweepInterval = time.Minute
)

// weigher tells the share of new work that an instance should receive.
type weigher interface {
	// Weight returns 1 for an instance at full weight and less for one that is
	// being returned to service.
	Weight(name string, now time.Time) float64
}

// Router chooses instances for one gateway. It is safe for concurrent use.
type Router struct {
	name    string
	records *records
	// state numbers the random draws.
	state atomic.Uint64
	// turn is the position of the round-robin policy.
	turn   atomic.Uint64
	policy atomic.Pointer[fleet.Policy]
	// weights is nil if all instances have full weight.
	weights atomic.Pointer[weigher]
	// tables holds the subset of each service. It is replaced as a whole.
	tables atomic.Pointer[map[string]*table]

	// mu guards the making of tables and the fields below.
	mu    sync.Mutex
	place place
	swept time.Time
}

// New returns a router for the gateway with the name, which must be written as
// in the list of SetGateways. The seed makes its random choices reproducible.
func New(name string, policy fleet.Policy, seed uint64) *Router {
	r := &Router{
		name:    name,
		records: newRecords(),
		place:   place{index: xxhash.Sum64String(name) >> 32},
	}
	r.state.Store(mix(seed))
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

// SetDataCentre tells the router the gateway's data centre.
func (r *Router) SetDataCentre(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.place.dataCentre = name
	r.tables.Store(&map[string]*table{})
}

// SetWeights makes the router reduce the work of instances with a weight below
// 1, such as membership.View states it.
func (r *Router) SetWeights(w weigher) { r.weights.Store(&w) }

// SetGateways tells the router the names of all gateways, in any order. Its own
// name is added if it is missing. With equal lists the gateways' subsets overlap
// as little as possible.
func (r *Router) SetGateways(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := append(slices.Clone(names), r.name)
	slices.Sort(sorted)
	index, _ := slices.BinarySearch(slices.Compact(sorted), r.name)
	r.place.index = uint64(index)
	r.tables.Store(&map[string]*table{})
}

// Choose returns one of the usable instances, which must be of one service,
// whose names are not excluded. The prefix is a hash of the prompt's beginning,
// 0 for none. The last result is false if no instance is left. The list must not
// be changed afterwards; passing the same list again saves time.
func (r *Router) Choose(usable []instance.Instance, prefix uint64, excluded []string, now time.Time) (instance.Instance, bool) {
	if len(usable) == 0 {
		return instance.Instance{}, false
	}
	t := r.table(usable, now)
	d := decision{router: r, table: t, excluded: excluded, now: now}
	chosen := d.choose(r.policy.Load(), prefix)
	if chosen == nil {
		chosen = d.any(t.rest())
	}
	if chosen == nil {
		return instance.Instance{}, false
	}
	return chosen.instance, true
}

// Observe records a load report.
func (r *Router) Observe(report load.Report, now time.Time) {
	r.records.get(report.Instance).observe(report, now)
}

// Load returns the last report of the instance.
func (r *Router) Load(name string) (load.Report, bool) {
	known := r.records.lookup(name)
	if known == nil {
		return load.Report{}, false
	}
	o := known.seen.Load()
	if o == nil {
		return load.Report{}, false
	}
	return o.report, true
}

// Begin records that an attempt was sent to the instance.
func (r *Router) Begin(name string) { r.records.add(name, 1) }

// End records that an attempt at the instance ended.
func (r *Router) End(name string) { r.records.add(name, -1) }

// Subset returns the names of the usable instances that this gateway prefers.
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

// table returns the table for the usable instances and makes it if they
// changed.
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
	t := newTable(usable, r.place, r.policy.Load().SubsetSize, r.records)
	tables[service] = t
	r.tables.Store(&tables)
	r.sweep(tables, now)
	return t
}

// sweep drops the records of instances that no table holds.
func (r *Router) sweep(tables map[string]*table, now time.Time) {
	if now.Sub(r.swept) < sweepInterval {
		return
	}
	r.swept = now
	keep := make(map[string]struct{})
	for _, t := range tables {
		for i := range t.usable {
			keep[t.usable[i].Name] = struct{}{}
		}
	}
	r.records.forget(keep, now)
}

// weight returns the share of new work that the instance should receive.
func (r *Router) weight(name string, now time.Time) float64 {
	w := r.weights.Load()
	if w == nil {
		return 1
	}
	return (*w).Weight(name, now)
}

// random returns a number from 0 to n-1.
func (r *Router) random(n int) int {
	return int(mix(r.state.Add(increment)) >> 33 * uint64(n) >> 31)
}
