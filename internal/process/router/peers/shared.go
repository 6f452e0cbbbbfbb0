package peers

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/drainnotice"
)

// resendInterval is the time after which the same state is sent to the same
// peer again, because a response may be lost.
const resendInterval = 2 * time.Second

// Drains holds the notices of leaving upstreams that all routers share.
type Drains interface {
	// SharedNotices returns the notices for other routers, and a digest of them.
	SharedNotices(now time.Time) ([]drainnotice.Notice, uint64)
	// MergeNotices adds the notices of another router.
	MergeNotices(shared []drainnotice.Notice, now time.Time)
}

// noDrains is a Drains without notices.
type noDrains struct{}

func (noDrains) SharedNotices(time.Time) ([]drainnotice.Notice, uint64) { return nil, 0 }
func (noDrains) MergeNotices([]drainnotice.Notice, time.Time)           {}

// digests are the digests of what a router shares with all others: its evidence on
// prompts, its limits of upstreams and its notices of leaving upstreams.
type digests struct{ evidence, limits, notices uint64 }

// sentDigests is what was last sent to a peer, of one kind of shared state.
type sentDigests struct {
	// own and peers are the digests of this router and of the peer at that time.
	own, peers uint64
	at         time.Time
}

// isDue reports whether shared state must be sent to a peer: its digest differs, and
// the same state was not sent a short time ago.
func (s sentDigests) isDue(own, peers uint64, now time.Time) bool {
	same := s.own == own && s.peers == peers
	recentlySent := same && now.Sub(s.at) < resendInterval
	return own != peers && !recentlySent
}

func (m message) digests() digests { return digests{m.EvidenceDigest, m.LimitsDigest, m.NoticesDigest} }

// addShared adds the state that this router shares to the message for a peer that
// has the digests.
func (p *Peers) addShared(m *message, address string, peers digests) {
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
	notices, own := p.drains.SharedNotices(now)
	m.NoticesDigest = own
	if k.noticesSent.isDue(own, peers.notices, now) {
		m.Notices = notices
	}
}

// recordSharedSent records what shared state the message contained for a peer that had
// the digests.
func (p *Peers) recordSharedSent(m message, address string, peers digests) {
	now := p.clock()
	p.changePeer(address, func(k *peer) {
		if len(m.Evidence) > 0 {
			k.evidenceSent = sentDigests{m.EvidenceDigest, peers.evidence, now}
		}
		if len(m.Limits) > 0 {
			k.limitsSent = sentDigests{m.LimitsDigest, peers.limits, now}
		}
		if len(m.Notices) > 0 {
			k.noticesSent = sentDigests{m.NoticesDigest, peers.notices, now}
		}
	})
}
