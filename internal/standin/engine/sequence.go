package engine

import "time"

// Finish reasons of a sequence.
const (
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// Request is what a caller asks of the engine.
type Request struct {
	// ID names the generation; a second request with the same ID joins it.
	ID       string
	Model    string
	Prompt   string
	Priority int
	// MaxTokens is the exact output length, 0 for a length drawn by the prompt.
	MaxTokens int
	Chat      bool
}

// sequence is one generation. The engine's lock guards it.
type sequence struct {
	Request
	arrived      time.Time
	order        uint64
	promptTokens int
	hashes       []uint64
	length       int
	reason       string

	generated int
	// computed is the number of tokens whose keys and values are in memory,
	// at most promptTokens+generated.
	computed int
	holding  holding
	finished time.Time
	// changed is closed and replaced when generated or finished changes.
	changed chan struct{}
}

func newSequence(r Request, capacityTokens int, now time.Time) *sequence {
	s := &sequence{
		Request:      r,
		arrived:      now,
		promptTokens: PromptTokens(r.Prompt),
		hashes:       blockHashes(r.Prompt),
		length:       r.MaxTokens,
		reason:       finishLength,
		changed:      make(chan struct{}),
	}
	if s.length <= 0 {
		s.length = OutputLength(r.Prompt)
		s.reason = finishStop
	}
	if room := capacityTokens - s.promptTokens; s.length > room {
		s.length = room
		s.reason = finishLength
	}
	return s
}

// before reports whether s is served before other.
func (s *sequence) before(other *sequence) bool {
	if s.Priority != other.Priority {
		return s.Priority < other.Priority
	}
	return s.order < other.order
}

func (s *sequence) tokens() int { return s.promptTokens + s.generated }

// decodes reports whether only the last generated token is not yet computed.
func (s *sequence) decodes() bool { return s.generated > 0 && s.computed == s.tokens()-1 }

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
