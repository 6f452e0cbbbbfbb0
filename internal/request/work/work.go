package work

import "time"

// Work is one attempt that waits for admission at an upstream or was admitted. It
// is not changed after its creation.
type Work struct {
	// ID is the attempt's identifier.
	ID string
	// Account is the client account that is charged in fair queueing.
	Account string
	// Weight is the account's share in fair queueing, at least 1.
	Weight int
	// Model is the model name, empty for plain services.
	Model string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's limit on the output, 0 for none.
	MaxTokens int
	// ExpectedTokens is the estimate of prompt and output together that fair
	// queueing charges, 0 for a default.
	ExpectedTokens int
	// Priority orders the queue, lower first.
	Priority int
	// Deadline is the latest time of admission.
	Deadline time.Time
}
