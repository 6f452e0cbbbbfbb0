package work

import "time"

// Work is one attempt that waits for or holds a place at an upstream. It is an
// immutable value.
type Work struct {
	// ID is the attempt's identifier.
	ID string
	// Account is the client account that is charged in fair queueing.
	Account string
	// Weight is the account's share in fair queueing, at least 1.
	Weight int
	// Model is the model name, empty for plain services.
	Model string
	// PromptTokens is an estimate of the prompt's length.
	PromptTokens int
	// MaxTokens is the caller's bound on the output, 0 for none.
	MaxTokens int
	// ExpectedTokens is the estimate of prompt and output together that fair
	// queueing charges, 0 for a default.
	ExpectedTokens int
	// Priority orders waiting work, lower first.
	Priority int
	// Deadline is when the work must have been admitted.
	Deadline time.Time
}
