package route

import (
	"strings"
	"time"
)

// Kind tells what may be repeated of a request.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of numbered events.
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

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route, at least 0.
	Weight float64
}

// Route describes the requests of one host and path prefix.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may stay unanswered, 0 for none.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is of full use: to the
	// last byte of a plain answer, to the first event of a stream.
	LatencyTarget time.Duration
	// Shares lists the services, not empty.
	Shares []Share
	// MaxAttempts is the largest number of upstreams that one request is sent to.
	MaxAttempts int
	// Priority is the rank of the route, 0 for the most urgent.
	Priority int
	// Public routes need no key of a client account.
	Public bool
	// Resumable streams may go on at another upstream from the last event.
	Resumable bool
	// MaxEventGap is the longest pause between events that is still on time.
	MaxEventGap time.Duration
}

// Matches reports whether the route is for the path.
func (r *Route) Matches(path string) bool { return strings.HasPrefix(path, r.PathPrefix) }

// MayRepeat reports whether the request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service for a draw from [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := draw * total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
