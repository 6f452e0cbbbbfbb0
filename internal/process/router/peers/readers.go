package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// reader is a router that may query the store on behalf of others.
type reader struct {
	Address string `json:"address"`
	// LinkMbps is the bandwidth of the router's link, 0 if unknown.
	LinkMbps float64 `json:"link_mbps"`
}

// readers returns the routers that query the store on behalf of all: the first ones in
// the order. The result is never empty.
func (p *Peers) readers() []reader {
	order := p.order()
	return order[:min(readerCount, len(order))]
}

// order returns the routers that are alive, this one included, those with the widest
// links first. Routers that know the same peers agree on it.
func (p *Peers) order() []reader {
	candidates := append(p.candidates(), reader{p.self, p.linkMbps})
	slices.SortFunc(candidates, func(a, b reader) int {
		return cmp.Or(
			cmp.Compare(b.LinkMbps, a.LinkMbps),
			cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return candidates
}

// candidates returns the other routers that may be readers.
func (p *Peers) candidates() []reader {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	candidates := make([]reader, 0, len(p.known)+1)
	for address, k := range p.known {
		if k.alive(now) {
			candidates = append(candidates, reader{address, k.linkMbps})
		}
	}
	return candidates
}

// setLinks records the links that a message states, for peers that are known.
func (p *Peers) setLinks(stated []reader) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range stated {
		k, known := p.known[r.Address]
		if !known || r.LinkMbps <= 0 {
			continue
		}
		k.linkMbps = r.LinkMbps
		p.known[r.Address] = k
	}
}

func addresses(readers []reader) []string {
	names := make([]string, 0, len(readers))
	for _, r := range readers {
		names = append(names, r.Address)
	}
	return names
}
