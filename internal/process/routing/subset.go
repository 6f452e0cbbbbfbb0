package routing

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

// place is the position of a gateway among the gateways.
type place struct {
	// index is the gateway's position in the sorted list of gateways, or a hash
	// of its name while the list is not known.
	index      uint64
	dataCentre string
}

// table is the subset of one service for one list of usable instances. It is
// immutable but for next.
type table struct {
	// usable is the list that the table was made from. The table keeps it alive,
	// so that a list at the same address is the same list.
	usable     []instance.Instance
	candidates []candidate
	// local holds the indices of the candidates in the own data centre.
	local []int
	// ring holds the indices of the candidates in the order of their hashes.
	ring []int
	// rest holds the instances outside of the subset. It is made on the first
	// use, when all candidates are excluded or leaving.
	rest func() []candidate
}

// newTable returns the table of the usable instances, of which at most size are
// candidates, 0 for all.
func newTable(usable []instance.Instance, p place, size int, records *records) *table {
	chosen := subset(usable, p, size)
	t := &table{usable: usable, candidates: make([]candidate, 0, len(chosen))}
	for _, i := range chosen {
		c := records.candidate(usable[i], p.dataCentre)
		if c.local {
			t.local = append(t.local, len(t.candidates))
		}
		t.candidates = append(t.candidates, c)
	}
	t.ring = indices(len(t.candidates))
	slices.SortFunc(t.ring, func(a, b int) int { return cmp.Compare(t.candidates[a].hash, t.candidates[b].hash) })
	t.rest = sync.OnceValue(func() []candidate { return remainder(usable, chosen, p, records) })
	return t
}

// position returns the position in the ring at which the hash belongs.
func (t *table) position(hash uint64) int {
	i, _ := slices.BinarySearchFunc(t.ring, hash, func(i int, hash uint64) int {
		return cmp.Compare(t.candidates[i].hash, hash)
	})
	return i
}

// matches reports whether the table was made from the same instances.
func (t *table) matches(usable []instance.Instance) bool {
	if len(t.usable) != len(usable) {
		return false
	}
	if len(usable) == 0 || &t.usable[0] == &usable[0] {
		return true
	}
	return slices.Equal(t.usable, usable)
}

// subset returns the indices of the chosen instances in ascending order. Up to
// half of them are in the own data centre.
func subset(usable []instance.Instance, p place, size int) []int {
	if size <= 0 || size >= len(usable) {
		return indices(len(usable))
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
	chosen := share(usable, local, p.index, localSize)
	chosen = append(chosen, share(usable, remote, p.index, size-localSize)...)
	slices.Sort(chosen)
	return chosen
}

// share returns the gateway's part of the instances: size of them in a row from
// the gateway's place on a circle of the instances. The places are the van der
// Corput sequence, which spreads any number of gateways evenly.
func share(usable []instance.Instance, among []int, index uint64, size int) []int {
	if size <= 0 {
		return nil
	}
	order := circle(usable, among)
	start, _ := bits.Mul64(bits.Reverse64(index), uint64(len(order)))
	part := make([]int, 0, size)
	for i := range min(size, len(order)) {
		part = append(part, order[(int(start)+i)%len(order)])
	}
	return part
}

// circle returns the instances in the order of the hash of their names. An
// instance that comes or goes does not change the order of the others.
func circle(usable []instance.Instance, among []int) []int {
	type keyed struct {
		hash  uint64
		index int
	}
	keys := make([]keyed, 0, len(among))
	for _, i := range among {
		keys = append(keys, keyed{xxhash.Sum64String(usable[i].Name), i})
	}
	slices.SortFunc(keys, func(a, b keyed) int { return cmp.Compare(a.hash, b.hash) })
	order := make([]int, 0, len(keys))
	for _, k := range keys {
		order = append(order, k.index)
	}
	return order
}

func remainder(usable []instance.Instance, chosen []int, p place, records *records) []candidate {
	rest := make([]candidate, 0, len(usable)-len(chosen))
	for i := range usable {
		if _, ok := slices.BinarySearch(chosen, i); !ok {
			rest = append(rest, records.candidate(usable[i], p.dataCentre))
		}
	}
	return rest
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
