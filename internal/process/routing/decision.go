package routing

import (
	"math"
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// weightSteps is the resolution of draws by weight.
const weightSteps = 1 << 20

// decision is one choice of an instance.
type decision struct {
	router   *Router
	table    *table
	excluded []string
	now      time.Time
}

// choose returns the candidate that the policy selects, nil if none is left.
func (d *decision) choose(policy *fleet.Policy, prefix uint64) *candidate {
	switch policy.Routing {
	case roundRobin:
		return d.roundRobin()
	case leastOutstanding:
		return d.leastOutstanding()
	case powerOfTwo:
		return d.powerOfTwo()
	}
	chosen := d.byLoad()
	if prefix == 0 || !policy.PrefixAffinity || chosen == nil {
		return chosen
	}
	return d.byPrefix(prefix, chosen)
}

func (d *decision) roundRobin() *candidate {
	candidates := d.table.candidates
	start := int(d.router.turn.Add(1) % uint64(len(candidates)))
	return d.from(candidates, start)
}

func (d *decision) leastOutstanding() *candidate {
	var best *candidate
	least := int64(math.MaxInt64)
	for i := range d.table.candidates {
		c := &d.table.candidates[i]
		if own := c.record.outstanding.Load(); own < least && d.permits(c) {
			best, least = c, own
		}
	}
	return best
}

func (d *decision) powerOfTwo() *candidate {
	a := d.any(d.table.candidates)
	b := d.other(a)
	if b == nil || a.record.outstanding.Load() <= b.record.outstanding.Load() {
		return a
	}
	return b
}

// byLoad compares an instance of the own data centre with any other instance.
func (d *decision) byLoad() *candidate {
	a := d.local()
	if a == nil {
		a = d.any(d.table.candidates)
	}
	b := d.other(a)
	if b == nil {
		return a
	}
	difference := a.record.pressure(d.now) - b.record.pressure(d.now)
	if a.local != b.local && math.Abs(difference) <= equalLoad {
		if a.local {
			return a
		}
		return b
	}
	if difference <= 0 {
		return a
	}
	return b
}

// byPrefix returns the instance that the prefix hashes to if its load allows it,
// else the one chosen by load.
func (d *decision) byPrefix(prefix uint64, chosen *candidate) *candidate {
	preferred := d.hashed(prefix)
	if preferred == nil || preferred == chosen || !d.draws(preferred) {
		return chosen
	}
	pressure := preferred.record.pressure(d.now)
	if pressure > affinityMaximum || pressure > chosen.record.pressure(d.now)+affinityLoad {
		return chosen
	}
	return preferred
}

// hashed returns the instance that the prefix hashes to: the one with the
// highest hash of prefix and name among some neighbours on the circle, so that
// the time does not grow with the number of instances.
func (d *decision) hashed(prefix uint64) *candidate {
	ring := d.table.ring
	start := d.table.position(mix(prefix))
	var preferred *candidate
	var highest uint64
	for i := range min(neighbours, len(ring)) {
		c := &d.table.candidates[ring[(start+i)%len(ring)]]
		if score := mix(prefix ^ c.hash); (preferred == nil || score > highest) && d.permits(c) {
			preferred, highest = c, score
		}
	}
	return preferred
}

// local returns a random instance of the own data centre, nil if the draws hit
// none that is left.
func (d *decision) local() *candidate {
	if len(d.table.local) == 0 {
		return nil
	}
	for range samples {
		c := &d.table.candidates[d.table.local[d.router.random(len(d.table.local))]]
		if d.draws(c) {
			return c
		}
	}
	return nil
}

// any returns a random one of the candidates, nil if none is left.
func (d *decision) any(candidates []candidate) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	for range samples {
		if c := &candidates[d.router.random(len(candidates))]; d.draws(c) {
			return c
		}
	}
	return d.from(candidates, d.router.random(len(candidates)))
}

// other returns a random candidate that is not a, nil if none is left.
func (d *decision) other(a *candidate) *candidate {
	candidates := d.table.candidates
	if a == nil || len(candidates) < 2 {
		return nil
	}
	start := d.router.random(len(candidates))
	for i := range candidates {
		if c := &candidates[(start+i)%len(candidates)]; c != a && d.draws(c) {
			return c
		}
	}
	return nil
}

// from returns the first candidate from the start on, around the end, that is
// left.
func (d *decision) from(candidates []candidate, start int) *candidate {
	for i := range candidates {
		if c := &candidates[(start+i)%len(candidates)]; d.permits(c) {
			return c
		}
	}
	return nil
}

// draws reports whether the instance is left and a draw by its weight accepts
// it.
func (d *decision) draws(c *candidate) bool {
	if !d.permits(c) {
		return false
	}
	weight := d.router.weight(c.instance.Name, d.now)
	return weight >= 1 || float64(d.router.random(weightSteps)) < weight*weightSteps
}

func (d *decision) permits(c *candidate) bool {
	return c.record.available(d.now) && !slices.Contains(d.excluded, c.instance.Name)
}
