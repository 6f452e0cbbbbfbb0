package peers

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

// peer is what a router knows about another one.
type peer struct {
	// lastContact is the time of the last contact. For a peer that only others have
	// named, it is a time that makes the peer count as lost soon.
	lastContact time.Time
	// confirmed is true once this router had a contact of its own. Only confirmed
	// peers are named to others, so that a lost peer is not named in turns forever.
	confirmed bool
	// stopTime is when the peer exits, zero if it is not stopping.
	stopTime time.Time
}

func (p peer) alive(now time.Time) bool { return now.Sub(p.lastContact) <= peerTimeout }

// alive returns the addresses of the peers that count as alive.
func (p *Peers) alive() []string { return p.filter(func(peer) bool { return true }) }

// confirmed returns the addresses of the peers that count as alive and had a
// contact with this router.
func (p *Peers) confirmed() []string {
	return p.filter(func(k peer) bool { return k.confirmed })
}

func (p *Peers) filter(accept func(peer) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	selected := make([]string, 0, len(p.known))
	for address, k := range p.known {
		if k.alive(now) && accept(k) {
			selected = append(selected, address)
		}
	}
	return selected
}

func (p *Peers) removeLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for address, k := range p.known {
		if k.alive(now) {
			continue
		}
		delete(p.known, address)
		p.failures.forget(address)
		p.log.Emit(eventlog.PeerLost).Str("peer", address).Dur("silent", now.Sub(k.lastContact)).Send()
	}
}

// recordContact records that the peer is alive.
func (p *Peers) recordContact(address string) {
	if address == "" || address == p.self {
		return
	}
	p.mu.Lock()
	k := p.known[address]
	found := !k.confirmed
	k.lastContact = p.clock()
	k.confirmed = true
	p.known[address] = k
	p.mu.Unlock()
	if found {
		p.log.Emit(eventlog.PeerFound).Str("peer", address).Send()
	}
}

// addCandidates adds peers that another router has named. Without a contact of
// this router's own, they count as lost after half of peerTimeout.
func (p *Peers) addCandidates(addresses []string) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		if _, known := p.known[a]; !known && a != p.self && a != "" {
			p.known[a] = peer{lastContact: now.Add(-peerTimeout / 2)}
		}
	}
}
