package peers

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

// peer is what a router knows about another one.
type peer struct {
	// heard is the time of the last contact that this router or one that named the
	// peer had with it.
	heard time.Time
	// contacted is true once this router had a contact of its own.
	contacted bool
	// linkMbps is the bandwidth of the peer's link, 0 if unknown.
	linkMbps float64
	// evidenceDigest is the digest of the peer's evidence in its last message.
	evidenceDigest uint64
	// stopTime is when the peer exits, zero if it is not stopping.
	stopTime time.Time
}

func (p peer) alive(now time.Time) bool { return now.Sub(p.heard) <= peerTimeout }

// alive returns the addresses of the peers that count as alive.
func (p *Peers) alive() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	alive := make([]string, 0, len(p.known))
	for address, k := range p.known {
		if k.alive(now) {
			alive = append(alive, address)
		}
	}
	return alive
}

// addNames names the peers that count as alive in the message, each with the age
// of the last contact.
func (p *Peers) addNames(m *message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for address, k := range p.known {
		if k.alive(now) {
			m.Peers = append(m.Peers, address)
			m.PeerAgesMillis = append(m.PeerAgesMillis, now.Sub(k.heard).Milliseconds())
		}
	}
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
		p.log.Emit(eventlog.PeerLost).Str("peer", address).Dur("silent", now.Sub(k.heard)).Send()
	}
}

// recordContact records that the peer is alive.
func (p *Peers) recordContact(address string) {
	if address == "" || address == p.self {
		return
	}
	p.mu.Lock()
	k := p.known[address]
	found := !k.contacted
	k.heard = p.clock()
	k.contacted = true
	p.known[address] = k
	p.mu.Unlock()
	if found {
		p.log.Emit(eventlog.PeerFound).Str("peer", address).Send()
	}
}

// addNamed records the peers that another router has named, with the ages of
// their last contacts. Peers of a router that sends no ages count as lost after
// half of peerTimeout, unless there is a contact.
func (p *Peers) addNamed(names []string, ages []int64) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, address := range names {
		if address == p.self || address == "" {
			continue
		}
		k, known := p.known[address]
		heard := now.Add(-peerTimeout / 2)
		if len(ages) == len(names) {
			heard = now.Add(-time.Duration(max(0, ages[i])) * time.Millisecond)
		} else if known {
			continue
		}
		if heard.After(k.heard) && now.Sub(heard) <= peerTimeout {
			k.heard = heard
			p.known[address] = k
		}
	}
}
