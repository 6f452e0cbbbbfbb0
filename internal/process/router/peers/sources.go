package peers

import (
	"math/rand/v2"
	"slices"
)

const (
	// fanout is the number of routers that have one router as their first source, and of
	// those that have it as their second.
	fanout = 6
	// maxSourceFailures is the number of failures in a row after which a router turns to
	// a reader.
	maxSourceFailures = 2
)

// source returns the router from which this one is to get items in the round, after the
// given number of failures in a row. It is empty for a reader.
func (p *Peers) source(round, failures int) string {
	order := p.order()
	position := slices.IndexFunc(order, func(r reader) bool { return r.Address == p.self })
	if position < readerCount {
		return ""
	}
	if failures >= maxSourceFailures {
		return order[rand.IntN(readerCount)].Address
	}
	return order[sources(position)[round%2]].Address
}

// sources returns the positions of the two sources of the router at the position, which
// is no reader. The routers form levels: the readers, and fanout times as many on each
// further level. Each router has two sources on the level before, and each has at most
// fanout routers for which it is the first one, and as many for which it is the second.
func sources(position int) [2]int {
	start, size := 0, readerCount
	for position >= start+size+fanout*size {
		start, size = start+size, fanout*size
	}
	first := (position - start - size) / fanout
	return [2]int{start + first, start + (first+1)%size}
}
