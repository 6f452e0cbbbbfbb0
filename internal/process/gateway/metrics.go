package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the counters of one gateway.
type metrics struct {
	scope tally.Scope
	// requests counts the callers' requests, retries the attempts after the
	// first, and resumptions the links that replaced a lost one.
	requests, retries, resumptions, tokens tally.Counter
	// firstToken is the time from a request to its first token.
	firstToken tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:       scope,
		requests:    scope.Counter("requests"),
		retries:     scope.Counter("retries"),
		resumptions: scope.Counter("resumptions"),
		tokens:      scope.Counter("tokens"),
		firstToken:  scope.Histogram("first_token", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)),
	}
}

// refused counts a problem that a caller received.
func (m *metrics) refused(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_refused").Inc(1)
}
