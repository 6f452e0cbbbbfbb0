package engine

import "time"

// Finish reasons of a sequence.
const (
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// Request is a completion request.
type Request struct {
	// ID identifies the generation. A second request with the same ID receives
	// the output of the first.
	ID     string
	Model  string
	Prompt string
	// Priority orders the queue; lower values are served first.
	Priority int
	// MaxTokens is the exact output length in tokens, 0 for OutputLength of the
	// prompt.
	MaxTokens int
	Chat      bool
}

// sequence is one generation. The engine's lock guards it.
type sequence struct {
	Request
	arrived       time.Time
	arrivalNumber uint64
	promptTokens  int
	hashes        []uint64
	// outputTokens is the length at which the sequence finishes.
	outputTokens int
	finishReason string

	// generated is the number of output tokens so far.
	generated int
	// computed is the number of tokens whose keys and values are in memory, at
	// most promptTokens+generated.
	computed   int
	allocation allocation
	finished   time.Time
	// changed is closed and replaced when generated or finished changes.
	changed chan struct{}
}

func newSequence(r Request, capacityTokens int, now time.Time) *sequence {
	s := &sequence{
		Request:      r,
		arrived:      now,
		promptTokens: PromptTokens(r.Prompt),
		hashes:       blockHashes(r.Prompt),
		outputTokens: r.MaxTokens,
		finishReason: finishLength,
		changed:      make(chan struct{}),
	}
	if s.outputTokens <= 0 {
		s.outputTokens = OutputLength(r.Prompt)
		s.finishReason = finishStop
	}
	if room := capacityTokens - s.promptTokens; s.outputTokens > room {
		s.outputTokens = room
		s.finishReason = finishLength
	}
	return s
}

// before reports whether s is served before other: by priority, then arrival.
func (s *sequence) before(other *sequence) bool {
	if s.Priority != other.Priority {
		return s.Priority < other.Priority
	}
	return s.arrivalNumber < other.arrivalNumber
}

func (s *sequence) tokens() int { return s.promptTokens + s.generated }

// decodes reports whether the sequence is in its decode phase, that is, only the
// last generated token is not yet computed.
func (s *sequence) decodes() bool { return s.generated > 0 && s.computed == s.tokens()-1 }

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
