package peers

// addEvidence adds the evidence on prompts to the message, unless the receiver's
// has the same digest.
func (p *Peers) addEvidence(m *message, receivers uint64) {
	evidence, digest := p.prompts.Evidence(p.clock())
	m.EvidenceDigest = digest
	if digest != receivers {
		m.Evidence = evidence
	}
}

// digestOf returns the digest of the peer's evidence in its last message, 0 for
// none.
func (p *Peers) digestOf(address string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[address].evidenceDigest
}

func (p *Peers) setDigest(address string, digest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, known := p.known[address]
	if !known {
		return
	}
	k.evidenceDigest = digest
	p.known[address] = k
}
