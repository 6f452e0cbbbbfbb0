package peers

import "time"

// newsResendInterval is the time after which the same news is sent to the same
// peer again, because a response may be lost.
const newsResendInterval = 2 * time.Second

// digests are the digests of what a router shares with all others: its evidence on
// prompts and its limits of upstreams.
type digests struct{ evidence, limits uint64 }

// sentNews is what was last sent to a peer of one kind of news.
type sentNews struct {
	// own and peers are the digests of this router and of the peer at that time.
	own, peers uint64
	at         time.Time
}

// isDue reports whether news must be sent to a peer: its digest differs, and the
// same news was not sent a short time ago.
func (s sentNews) isDue(own, peers uint64, now time.Time) bool {
	same := s.own == own && s.peers == peers
	recentlySent := same && now.Sub(s.at) < newsResendInterval
	return own != peers && !recentlySent
}

func (m message) digests() digests { return digests{m.EvidenceDigest, m.LimitsDigest} }

func (p peer) digests() digests { return p.stated }

// addNews adds this router's news to the message for a peer that has the digests.
func (p *Peers) addNews(m *message, address string, peers digests) {
	now := p.clock()
	k := p.peer(address)
	evidence, own := p.prompts.Evidence(now)
	m.EvidenceDigest = own
	if k.evidenceSent.isDue(own, peers.evidence, now) {
		m.Evidence = evidence
	}
	limits, own := p.limits.Shared()
	m.LimitsDigest = own
	if k.limitsSent.isDue(own, peers.limits, now) {
		m.Limits = limits
	}
}

// recordNewsSent records what news the message contained for a peer that had the
// digests.
func (p *Peers) recordNewsSent(m message, address string, peers digests) {
	now := p.clock()
	p.changePeer(address, func(k *peer) {
		if len(m.Evidence) > 0 {
			k.evidenceSent = sentNews{m.EvidenceDigest, peers.evidence, now}
		}
		if len(m.Limits) > 0 {
			k.limitsSent = sentNews{m.LimitsDigest, peers.limits, now}
		}
	})
}

func (p *Peers) setDigests(address string, d digests) {
	p.changePeer(address, func(k *peer) { k.stated = d })
}
