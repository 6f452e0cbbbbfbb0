package reservation

import "math"

const (
	// maxPriority is the priority of the least urgent requests.
	maxPriority = 9
	// maxTokens bounds the sizes, so that sums of them cannot overflow.
	maxTokens = 1 << 31
	// defaultPromptTokens is reserved for a prompt without a usable size. Nothing
	// reserved would let all routers take the same room.
	defaultPromptTokens = 2000
	// maxIDBytes bounds the memory of the reservations.
	maxIDBytes = 256
)

// HasValidID reports whether the ID can identify a reservation.
func (r Request) HasValidID() bool { return r.ID != "" && len(r.ID) <= maxIDBytes }

// WithDefaults returns the request with a default for each value out of range, and whether
// there were such values. A priority becomes the nearest one in range, an unusable
// prompt size defaultPromptTokens, and any other value 0.
func (r Request) WithDefaults() (s Request, changed bool) {
	s = r
	s.Priority = min(maxPriority, max(0, r.Priority))
	if r.PromptTokens <= 0 || r.PromptTokens > maxTokens {
		s.PromptTokens = defaultPromptTokens
	}
	if r.OutputTokens < 0 || r.OutputTokens > maxTokens {
		s.OutputTokens = 0
	}
	if math.IsNaN(r.Headroom) || r.Headroom < 0 || r.Headroom > 1 {
		s.Headroom = 0
	}
	s.ConcurrencyLimit = max(0, r.ConcurrencyLimit)
	return s, s != r
}
