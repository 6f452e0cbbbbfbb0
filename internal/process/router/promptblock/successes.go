package promptblock

import "time"

const (
	// successLifetime is how long a success is remembered at least.
	successLifetime = time.Minute
	// maxSuccesses bounds the parts with a remembered success. When it is reached,
	// the older half of the time span is dropped.
	maxSuccesses = 50_000
)

// successes remembers the time of the last success of each part for one to two
// times successLifetime, in two generations.
type successes struct {
	recent, previous map[string]time.Time
	// since is when the recent generation began.
	since time.Time
}

func newSuccesses() *successes { return &successes{recent: make(map[string]time.Time)} }

func (s *successes) record(part string, at time.Time) {
	if at.Before(s.last(part)) {
		return
	}
	if at.Sub(s.since) > successLifetime || len(s.recent) >= maxSuccesses {
		s.previous, s.recent, s.since = s.recent, make(map[string]time.Time), at
	}
	s.recent[part] = at
}

// last returns the time of the last remembered success, zero for none.
func (s *successes) last(part string) time.Time {
	if at, ok := s.recent[part]; ok {
		return at
	}
	return s.previous[part]
}

// among returns those of the parts with a remembered success.
func (s *successes) among(parts []string) []string {
	var found []string
	for _, p := range parts {
		if !s.last(p).IsZero() {
			found = append(found, p)
		}
	}
	return found
}
