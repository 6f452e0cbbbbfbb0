package ratepermit

import (
	"slices"
	"time"
)

// latePermit is a permit that arrived after the request for it had given up.
type latePermit struct {
	decision Decision
	// validFrom and validUntil bound the time in which a request may be sent with it.
	validFrom, validUntil time.Time
}

// keepLate records an answer that nobody waits for any more.
func (p *Permits) keepLate(s source, a answer, asked time.Time) {
	if a.err != nil {
		return
	}
	if !a.decision.Granted {
		p.setBackoff(s, a.decision.RetryIn)
		return
	}
	now := p.clock()
	l := latePermit{decision: a.decision, validFrom: now.Add(a.decision.Wait), validUntil: asked.Add(latePermitLifetime)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.late) >= maxEntries {
		for other := range p.late {
			p.removeExpired(other, now)
		}
	}
	p.late[s] = append(p.late[s], l)
}

// takeLate returns a late permit of the source that is valid within maxWait.
func (p *Permits) takeLate(s source, maxWait time.Duration) (Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.removeExpired(s, now)
	for i, l := range p.late[s] {
		if wait := max(0, l.validFrom.Sub(now)); wait <= maxWait {
			p.late[s] = slices.Delete(p.late[s], i, i+1)
			l.decision.Wait = wait
			return l.decision, true
		}
	}
	return Decision{}, false
}

// removeExpired removes the late permits of the source that are no longer valid. The
// caller must hold p.mu.
func (p *Permits) removeExpired(s source, now time.Time) {
	p.late[s] = slices.DeleteFunc(p.late[s], func(l latePermit) bool { return now.After(l.validUntil) })
	if len(p.late[s]) == 0 {
		delete(p.late, s)
	}
}
