package peers

import "time"

// evidenceResendInterval is the time after which the same evidence is sent to the
// same peer again, because a response may be lost.
const evidenceResendInterval = 2 * time.Second

// digests are the digests of this router's evidence and of a peer's.
type digests struct{ own, peers uint64 }

// addEvidence adds the evidence on prompts to the message for the peer whose
// evidence has the digest, unless the digests are equal or were the same when it
// was sent a short time ago.
func (p *Peers) addEvidence(m *message, address string, peers uint64) {
	now := p.clock()
	evidence, own := p.prompts.Evidence(now)
	m.EvidenceDigest = own
	k := p.peer(address)
	recent := now.Sub(k.evidenceSentAt) < evidenceResendInterval
	if own == peers || recent && k.evidenceSent == (digests{own, peers}) {
		return
	}
	m.Evidence = evidence
}

// recordEvidenceSent records that the evidence of the message was sent to the peer
// whose evidence has the digest.
func (p *Peers) recordEvidenceSent(m message, address string, peers uint64) {
	if len(m.Evidence) == 0 {
		return
	}
	now := p.clock()
	p.changePeer(address, func(k *peer) {
		k.evidenceSent = digests{m.EvidenceDigest, peers}
		k.evidenceSentAt = now
	})
}

func (p *Peers) setDigest(address string, digest uint64) {
	p.changePeer(address, func(k *peer) { k.evidenceDigest = digest })
}
