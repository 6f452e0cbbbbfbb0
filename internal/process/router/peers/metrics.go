package peers

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// exchangeBuckets are the bounds of the histogram of exchanges.
var exchangeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// metrics records the exchanges that this router starts.
type metrics struct {
	succeeded     tally.Counter
	failed        tally.Counter
	bytesReceived tally.Counter
	elapsed       tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("peers")
	return &metrics{
		succeeded:     scope.Counter("exchanges_succeeded"),
		failed:        scope.Counter("exchanges_failed"),
		bytesReceived: scope.Counter("bytes_received"),
		elapsed:       scope.Histogram("exchange", exchangeBuckets),
	}
}
