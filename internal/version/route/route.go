package route

import (
	"strings"
	"time"
)

// Kind states whether a request may run more than once and whether its answer
// is a stream of events.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests have a stream of numbered events as their answer.
	Streaming
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// Share is the fraction of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is at least 0 and relative to the weights of the route's other shares.
	Weight float64
}

// Route describes how the requests of one host and path prefix are served.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until a request is answered, 0 for no limit.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the last byte of a plain answer
	// or to the first event of a stream. A later answer is of less use to the
	// caller.
	LatencyTarget time.Duration
	// Shares lists the services and is not empty.
	Shares []Share
	// MaxAttempts is the largest number of upstreams to which one request is sent.
	MaxAttempts int
	// Priority is the priority of the route, 0 for the most urgent.
	Priority int
	// Public is true if requests need no key of a client account.
	Public bool
	// Resumable is true if another upstream can resume a stream after its last
	// event.
	Resumable bool
	// MaxEventGap is the longest time between two events of a stream that arrive on
	// time.
	MaxEventGap time.Duration
}

// Matches reports whether the path has the route's prefix.
func (r *Route) Matches(path string) bool { return strings.HasPrefix(path, r.PathPrefix) }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// PickService returns the service to which a random number from [0, 1) maps, with
// probabilities in proportion to the weights.
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Shares {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
