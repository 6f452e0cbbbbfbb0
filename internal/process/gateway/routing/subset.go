package routing

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

// gatewayPosition determines the gateway's subsets.
type gatewayPosition struct {
	// index is the gateway's index in the sorted list of gateways, or a hash of
	// its name until the list is set.
	index      uint64
	dataCentre string
}

// table holds the candidates of one service for one list of usable instances. It
// is immutable, except that fallback is computed on first use.
type table struct {
	// usable is the list that the table was created from. The table keeps it
	// alive, so that a list at the same address is the same list.
	usable     []instance.Instance
	candidates []candidate
	// local holds the indices of the candidates in the gateway's data centre.
	local []int
	// ring holds the indices of the candidates, sorted by their hashes.
	ring []int
	// fallback returns the instances outside the subset, which are used when all
	// candidates are excluded or leaving.
	fallback func() []candidate
}

// newTable returns the table for the usable instances, with at most size
// candidates. A size of 0 means all instances.
func newTable(usable []instance.Instance, p gatewayPosition, size int, records *records) *table {
	chosen := selectSubset(usable, p, size)
	t := &table{usable: usable, candidates: make([]candidate, 0, len(chosen))}
	for _, i := range chosen {
		c := records.candidate(usable[i], p.dataCentre)
		if c.local {
			t.local = append(t.local, len(t.candidates))
		}
		t.candidates = append(t.candidates, c)
	}
	t.ring = indicesUpTo(len(t.candidates))
	slices.SortFunc(t.ring, func(a, b int) int { return cmp.Compare(t.candidates[a].hash, t.candidates[b].hash) })
	t.fallback = sync.OnceValue(func() []candidate { return fallbackCandidates(usable, chosen, p, records) })
	return t
}

// ringPosition returns the position at which the hash belongs in the ring.
func (t *table) ringPosition(hash uint64) int {
	i, _ := slices.BinarySearchFunc(t.ring, hash, func(i int, hash uint64) int {
		return cmp.Compare(t.candidates[i].hash, hash)
	})
	return i
}

// matches reports whether the table was created from the same instances. It
// returns true for the same slice without comparing the elements.
func (t *table) matches(usable []instance.Instance) bool {
	if len(t.usable) != len(usable) {
		return false
	}
	if len(usable) == 0 || &t.usable[0] == &usable[0] {
		return true
	}
	return slices.Equal(t.usable, usable)
}

// selectSubset returns the indices of the selected instances in ascending order.
// Half of them are in the gateway's data centre: fewer if it has fewer instances,
// more if the other data centres have too few.
func selectSubset(usable []instance.Instance, p gatewayPosition, size int) []int {
	if size <= 0 || size >= len(usable) {
		return indicesUpTo(len(usable))
	}
	var local, remote []int
	for i := range usable {
		if usable[i].DataCentre == p.dataCentre {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	localSize := max(min(size/2, len(local)), size-len(remote))
	chosen := selectRange(usable, local, p.index, localSize)
	chosen = append(chosen, selectRange(usable, remote, p.index, size-localSize)...)
	slices.Sort(chosen)
	return chosen
}

// selectRange returns the indices of size consecutive instances on the hash ring
// of the members, starting at the gateway's point. The points of the gateways
// are the van der Corput sequence, which distributes any number of gateways
// evenly.
func selectRange(usable []instance.Instance, members []int, index uint64, size int) []int {
	if size <= 0 {
		return nil
	}
	order := hashRing(usable, members)
	start, _ := bits.Mul64(bits.Reverse64(index), uint64(len(order)))
	selected := make([]int, 0, size)
	for i := range min(size, len(order)) {
		selected = append(selected, order[(int(start)+i)%len(order)])
	}
	return selected
}

// hashRing returns the members, which are indices of usable, sorted by the hash of
// their names. Adding or removing an instance does not change the order of the
// others.
func hashRing(usable []instance.Instance, members []int) []int {
	type hashedInstance struct {
		hash  uint64
		index int
	}
	keys := make([]hashedInstance, 0, len(members))
	for _, i := range members {
		keys = append(keys, hashedInstance{xxhash.Sum64String(usable[i].Name), i})
	}
	slices.SortFunc(keys, func(a, b hashedInstance) int { return cmp.Compare(a.hash, b.hash) })
	order := make([]int, 0, len(keys))
	for _, k := range keys {
		order = append(order, k.index)
	}
	return order
}

func fallbackCandidates(usable []instance.Instance, chosen []int, p gatewayPosition, records *records) []candidate {
	candidates := make([]candidate, 0, len(usable)-len(chosen))
	for i := range usable {
		if _, ok := slices.BinarySearch(chosen, i); !ok {
			candidates = append(candidates, records.candidate(usable[i], p.dataCentre))
		}
	}
	return candidates
}

func indicesUpTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// mix returns a well-distributed hash of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
