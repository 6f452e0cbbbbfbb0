package reservation

import "time"

// Request asks for room at an engine for one generation. It is also the JSON body of
// a call to a reporter.
type Request struct {
	// ID identifies the caller's request.
	ID string `json:"id"`
	// Priority is the priority of the request, 0 for the most urgent, at most 9.
	Priority int `json:"priority"`
	// PromptTokens and OutputTokens are the sizes in tokens; OutputTokens is the
	// expected length of the output.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// Headroom is the share of the engine's memory that must stay free beside the
	// request, from 0 to 1.
	Headroom float64 `json:"headroom"`
	// ConcurrencyLimit is that of the engine as its entry in the list of upstreams
	// states it, 0 if unknown. The engine's report does not contain it, and a reporter
	// does not read the list.
	ConcurrencyLimit int `json:"concurrency_limit,omitempty"`
}

// Decision is the answer to a Request.
type Decision struct {
	Granted bool
	// Unconfirmed is true if no reporter decided, so that nothing is reserved.
	Unconfirmed bool
	// Reason is why the request was refused, empty if it was granted.
	Reason string
	// RetryIn is the time after which a refused request may be granted, 0 if unknown.
	RetryIn time.Duration
}
