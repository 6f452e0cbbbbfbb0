package routing

import (
	"math"
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// weightResolution is the number of distinct values of the random number that is
// compared with a weight.
const weightResolution = 1 << 20

// decision is the selection of an instance for one attempt.
type decision struct {
	router   *Router
	table    *table
	excluded []string
	now      time.Time
}

// choose returns the candidate that the policy selects, or nil if none is
// eligible.
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
	start := int(d.router.roundRobinPosition.Add(1) % uint64(len(candidates)))
	return d.firstEligible(candidates, start)
}

func (d *decision) leastOutstanding() *candidate {
	var best *candidate
	least := int64(math.MaxInt64)
	for i := range d.table.candidates {
		c := &d.table.candidates[i]
		if own := c.record.outstanding.Load(); own < least && d.eligible(c) {
			best, least = c, own
		}
	}
	return best
}

func (d *decision) powerOfTwo() *candidate {
	a := d.randomCandidate(d.table.candidates)
	b := d.randomOther(a)
	if b == nil || a.record.outstanding.Load() <= b.record.outstanding.Load() {
		return a
	}
	return b
}

// byLoad compares the pressure of a random local candidate with that of another
// random candidate. Within equalPressureMargin it prefers the local one.
func (d *decision) byLoad() *candidate {
	a := d.randomLocal()
	if a == nil {
		a = d.randomCandidate(d.table.candidates)
	}
	b := d.randomOther(a)
	if b == nil {
		return a
	}
	difference := a.record.pressure(d.now) - b.record.pressure(d.now)
	if a.local != b.local && math.Abs(difference) <= equalPressureMargin {
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

// byPrefix returns the candidate that the prefix hashes to if its pressure is
// within the affinity bounds, else the candidate chosen by load.
func (d *decision) byPrefix(prefix uint64, chosen *candidate) *candidate {
	preferred := d.prefixCandidate(prefix)
	if preferred == nil || preferred == chosen || !d.passesWeightDraw(preferred) {
		return chosen
	}
	pressure := preferred.record.pressure(d.now)
	if pressure > affinityMaxPressure || pressure > chosen.record.pressure(d.now)+affinityPressureMargin {
		return chosen
	}
	return preferred
}

// prefixCandidate returns the candidate that the prefix hashes to, or nil if none
// is eligible. It is the one with the highest hash of prefix and name among
// maxPrefixCandidates neighbours on the ring, so that the time does not grow with
// the number of instances.
func (d *decision) prefixCandidate(prefix uint64) *candidate {
	ring := d.table.ring
	start := d.table.ringPosition(mix(prefix))
	var preferred *candidate
	var highest uint64
	for i := range min(maxPrefixCandidates, len(ring)) {
		c := &d.table.candidates[ring[(start+i)%len(ring)]]
		if score := mix(prefix ^ c.hash); (preferred == nil || score > highest) && d.eligible(c) {
			preferred, highest = c, score
		}
	}
	return preferred
}

// randomLocal returns a random candidate in the gateway's data centre, or nil if
// none of maxRandomDraws draws is accepted.
func (d *decision) randomLocal() *candidate {
	if len(d.table.local) == 0 {
		return nil
	}
	for range maxRandomDraws {
		c := &d.table.candidates[d.table.local[d.router.random(len(d.table.local))]]
		if d.passesWeightDraw(c) {
			return c
		}
	}
	return nil
}

// randomCandidate returns a random candidate, or nil if none is eligible.
func (d *decision) randomCandidate(candidates []candidate) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	for range maxRandomDraws {
		if c := &candidates[d.router.random(len(candidates))]; d.passesWeightDraw(c) {
			return c
		}
	}
	return d.firstEligible(candidates, d.router.random(len(candidates)))
}

// randomOther returns a random candidate other than a, or nil if none is accepted.
func (d *decision) randomOther(a *candidate) *candidate {
	candidates := d.table.candidates
	if a == nil || len(candidates) < 2 {
		return nil
	}
	start := d.router.random(len(candidates))
	for i := range candidates {
		if c := &candidates[(start+i)%len(candidates)]; c != a && d.passesWeightDraw(c) {
			return c
		}
	}
	return nil
}

// firstEligible returns the first eligible candidate, searching from index start
// and wrapping around at the end, or nil if there is none.
func (d *decision) firstEligible(candidates []candidate, start int) *candidate {
	for i := range candidates {
		if c := &candidates[(start+i)%len(candidates)]; d.eligible(c) {
			return c
		}
	}
	return nil
}

// passesWeightDraw reports whether the candidate is eligible and a random draw
// accepts it with a probability equal to its weight.
func (d *decision) passesWeightDraw(c *candidate) bool {
	if !d.eligible(c) {
		return false
	}
	weight := d.router.weight(c.instance.Name, d.now)
	return weight >= 1 || float64(d.router.random(weightResolution)) < weight*weightResolution
}

func (d *decision) eligible(c *candidate) bool {
	return c.record.available(d.now) && !slices.Contains(d.excluded, c.instance.Name)
}
