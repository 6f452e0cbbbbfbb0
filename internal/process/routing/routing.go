package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// Router chooses instances for one gateway. It is safe for concurrent use.
type Router struct {
	mu     sync.Mutex
	random *rand.Rand
	// loads maps an instance name to its last report.
	loads map[string]load.Report
	// outstanding counts this gateway's attempts by instance name.
	outstanding map[string]int
	policy      fleet.Policy
}

// New returns a router for the gateway with the name. The seed makes its
// random choices reproducible.
func New(_ string, policy fleet.Policy, seed uint64) *Router {
	return &Router{
		random:      rand.New(rand.NewPCG(seed, 0)),
		loads:       make(map[string]load.Report),
		outstanding: make(map[string]int),
		policy:      policy,
	}
}

// SetPolicy replaces the policy.
func (r *Router) SetPolicy(policy fleet.Policy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy = policy
}

// Choose returns one of the usable instances whose names are not excluded. The
// prefix is a hash of the prompt's beginning, 0 for none. The last result is
// false if no instance is left.
func (r *Router) Choose(usable []instance.Instance, _ uint64, excluded []string, _ time.Time) (instance.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var left []instance.Instance
	for _, i := range usable {
		if !slices.Contains(excluded, i.Name) && r.loads[i.Name].Phase != load.PhaseLeaving {
			left = append(left, i)
		}
	}
	if len(left) == 0 {
		return instance.Instance{}, false
	}
	return left[r.random.IntN(len(left))], true
}

// Observe records a load report.
func (r *Router) Observe(report load.Report, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads[report.Instance] = report
}

// Load returns the last report of the instance.
func (r *Router) Load(name string) (load.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, ok := r.loads[name]
	return report, ok
}

// Begin records that an attempt was sent to the instance.
func (r *Router) Begin(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding[name]++
}

// End records that an attempt at the instance ended.
func (r *Router) End(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding[name]--
}
