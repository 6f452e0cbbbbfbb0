package peers

import (
	"math"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/peernames"
)

// forgetTime is how long the heartbeat of a lost peer is remembered, so that
// routers which still name the peer do not bring it back.
const forgetTime = time.Minute

// peer is what a router knows about another one.
type peer struct {
	// heard is the time of the last contact with the peer, or of the last message
	// that named it with a newer heartbeat.
	heard time.Time
	// heartbeat is the newest heartbeat of the peer, 0 if it sends none.
	heartbeat uint64
	// contacted is true once this router had a contact of its own.
	contacted bool
	// lost is true if the peer is only remembered for its heartbeat.
	lost bool
	// decodesNames is true if the peer decodes names in encoded form.
	decodesNames bool
	// linkMbps is the bandwidth of the peer's link, 0 if unknown.
	linkMbps float64
	// stated holds the digests in the peer's last message, evidenceSent, limitsSent and
	// noticesSent what was last sent to it.
	stated                                digests
	evidenceSent, limitsSent, noticesSent sentDigests
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

// peer returns what is known of the peer with the address, zero for nothing.
func (p *Peers) peer(address string) peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[address]
}

// changePeer changes what is known of the peer with the address, if anything is.
func (p *Peers) changePeer(address string, change func(*peer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, known := p.known[address]
	if !known {
		return
	}
	change(&k)
	p.known[address] = k
}

// addNames names the peers that count as alive in the message, each with its newest
// heartbeat: in encoded form if the receiver decodes that.
func (p *Peers) addNames(m *message, encoded bool) {
	names := p.names(m.Heartbeat)
	if encoded {
		m.EncodedPeers, names = peernames.Encode(names)
	}
	for _, n := range names {
		m.Peers = append(m.Peers, n.Address)
		m.PeerLags = append(m.PeerLags, n.Lag)
	}
}

// names returns the peers that count as alive, each with the distance of its newest
// heartbeat from this router's own.
func (p *Peers) names(heartbeat uint64) []peernames.Name {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	names := make([]peernames.Name, 0, len(p.known))
	for address, k := range p.known {
		if k.alive(now) {
			names = append(names, peernames.Name{Address: address, Lag: int64(heartbeat - k.heartbeat)})
		}
	}
	return names
}

// nextHeartbeat returns this router's heartbeat, which increases with each
// message. It begins at the time of day, so that it also increases over restarts.
func (p *Peers) nextHeartbeat() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heartbeat = max(p.heartbeat+1, uint64(p.clock().UnixMilli()))
	return p.heartbeat
}

func (p *Peers) removeLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for address, k := range p.known {
		switch {
		case k.alive(now):
		case !k.lost:
			p.known[address] = peer{heard: k.heard, heartbeat: k.heartbeat, lost: true}
			p.failures.forget(address)
			p.log.Emit(eventlog.PeerLost).Str("peer", address).Dur("silent", now.Sub(k.heard)).Send()
		case now.Sub(k.heard) > forgetTime:
			delete(p.known, address)
		}
	}
}

// recordContact records that the peer is alive. Its heartbeat replaces the one
// known, which may be of an earlier process whose clock was ahead.
func (p *Peers) recordContact(address string, heartbeat uint64) {
	if address == "" || address == p.self {
		return
	}
	p.mu.Lock()
	k := p.known[address]
	found := !k.contacted
	k.heard = p.clock()
	k.heartbeat = heartbeat
	k.contacted = true
	k.lost = false
	p.known[address] = k
	p.mu.Unlock()
	if found {
		p.log.Emit(eventlog.PeerFound).Str("peer", address).Send()
	}
}

// addNamed records the peers that another router has named, with their newest
// heartbeats. Without a heartbeat, a peer that is not known counts as lost after
// half of peerTimeout unless there is a contact.
func (p *Peers) addNamed(m message) {
	now := p.clock()
	named := m.named()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range named {
		address := n.Address
		if address == p.self || address == "" {
			continue
		}
		heartbeat := uint64(0)
		if n.Lag != noHeartbeat {
			heartbeat = m.Heartbeat - uint64(n.Lag)
		}
		k, known := p.known[address]
		switch {
		case heartbeat > k.heartbeat:
			k.heartbeat = heartbeat
			k.heard = now
		case !known:
			k.heard = now.Add(-peerTimeout / 2)
		default:
			continue
		}
		k.lost = false
		p.known[address] = k
	}
}

// noHeartbeat stands for an unknown heartbeat of a named peer.
const noHeartbeat = math.MinInt64

// named returns the peers that the message names in either form.
func (m message) named() []peernames.Name {
	// Names that cannot be decoded are left out; the sender is known all the same.
	names, _ := peernames.Decode(m.EncodedPeers)
	for i, address := range m.Peers {
		lag := int64(noHeartbeat)
		if len(m.PeerLags) == len(m.Peers) {
			lag = m.PeerLags[i]
		}
		names = append(names, peernames.Name{Address: address, Lag: lag})
	}
	return names
}
