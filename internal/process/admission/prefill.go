package admission

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/request/work"
)

const (
	// longPrompt is the number of prompt tokens from which on prefills are
	// spaced out: a longer prefill takes several steps of the engine, in which
	// the running generations get late tokens.
	longPrompt = 2048
	// maxSpacing bounds the pause after a long prefill.
	maxSpacing = 2 * time.Second
	// maxPrefill is how long a prefill without a first token blocks the next
	// one.
	maxPrefill = 10 * time.Second
)

// prefill spaces long prefills out, so that they take at most half of the time.
type prefill struct {
	// id is the work whose long prefill runs, empty for none.
	id    string
	start time.Time
	// next is when the next long prefill may start.
	next time.Time
}

func (p *prefill) allows(w work.Work, now time.Time) bool {
	if w.PromptTokens < longPrompt {
		return true
	}
	if p.id != "" && now.Sub(p.start) < maxPrefill {
		return false
	}
	return !now.Before(p.next)
}

func (p *prefill) begin(w work.Work, now time.Time) {
	if w.PromptTokens < longPrompt {
		return
	}
	p.id = w.ID
	p.start = now
}

// end records the first token or the end of the work.
func (p *prefill) end(id string, now time.Time) {
	if p.id == "" || p.id != id {
		return
	}
	p.id = ""
	p.next = now.Add(min(maxSpacing, now.Sub(p.start)))
}
