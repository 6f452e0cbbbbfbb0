package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the metrics of one gateway.
type metrics struct {
	scope tally.Scope
	// requests counts callers' requests, retries the attempts after the first for
	// a request, resumptions the resumptions of a generation on a new link, and
	// tokens the tokens delivered.
	requests, retries, resumptions, tokens tally.Counter
	// firstToken is the time from the arrival of a request to its first token.
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

// countRefusal counts a problem sent to a caller, by its outcome.
func (m *metrics) countRefusal(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_refused").Inc(1)
}
