package admission

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/request/work"
)

const (
	// longPrompt is the number of prompt tokens from which prefills are spaced
	// out: a prefill this long takes several engine steps, during which the tokens
	// of running generations are delayed.
	longPrompt = 2048
	// maxSpacing bounds the pause after a long prefill.
	maxSpacing = 2 * time.Second
	// maxPrefill is how long a prefill without a first token blocks the next
	// long prefill.
	maxPrefill = 10 * time.Second
)

// prefill spaces out long prefills, so that they take at most half of the time
// unless one takes longer than maxSpacing.
type prefill struct {
	// id identifies the work whose long prefill is running, empty if there is
	// none.
	id    string
	start time.Time
	// next is when the next long prefill may start.
	next time.Time
}

// allows reports whether the prefill of the work may start now.
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

// end records that the prefill ended, with the first token or with the work.
func (p *prefill) end(id string, now time.Time) {
	if p.id == "" || p.id != id {
		return
	}
	p.id = ""
	p.next = now.Add(min(maxSpacing, now.Sub(p.start)))
}
