package forwarding

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/version/route"
)

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.8, 18)

// gapBuckets are the bounds of the histogram of gaps between events. They are
// closer than those of latencies, as the bounds that callers accept are.
var gapBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.33, 20)

// Metrics records the results and latencies of requests.
type Metrics struct{ scope tally.Scope }

// NewMetrics returns metrics in the subscope "forward" of the scope.
func NewMetrics(scope tally.Scope) *Metrics { return &Metrics{scope: scope.SubScope("forward")} }

func (m *Metrics) answered(k route.Kind, status int, elapsed time.Duration) {
	tags := map[string]string{"kind": k.String(), "status": strconv.Itoa(status)}
	scope := m.scope.Tagged(tags)
	scope.Counter("answered").Inc(1)
	scope.Histogram("latency", latencyBuckets).RecordDuration(elapsed)
}

func (m *Metrics) firstEvent(elapsed time.Duration) {
	m.scope.Histogram("first_event", latencyBuckets).RecordDuration(elapsed)
}

func (m *Metrics) refused(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("refused").Inc(1)
}

func (m *Metrics) attemptFailed(o outcome) {
	m.scope.Tagged(map[string]string{"outcome": o.String()}).Counter("attempts_failed").Inc(1)
}

func (m *Metrics) malformedAnswer() { m.scope.Counter("malformed_answers").Inc(1) }

func (m *Metrics) incompleteAnswer() { m.scope.Counter("incomplete_answers").Inc(1) }

func (m *Metrics) abandoned() { m.scope.Counter("abandoned").Inc(1) }

func (m *Metrics) broken() { m.scope.Counter("broken").Inc(1) }

func (m *Metrics) resumed(moved bool) {
	m.scope.Tagged(map[string]string{"moved": strconv.FormatBool(moved)}).Counter("resumed").Inc(1)
}

// longestGap records the longest gap of a complete stream. The tag "predicted" says
// whether the upstream chosen for it was expected to keep the route's gap.
func (m *Metrics) longestGap(p gapPrediction, moved bool, gap time.Duration) {
	tags := map[string]string{"predicted": string(p), "moved": strconv.FormatBool(moved)}
	m.scope.Tagged(tags).Histogram("longest_gap", gapBuckets).RecordDuration(gap)
}

func (m *Metrics) invalidInput(field string) {
	m.scope.Tagged(map[string]string{"field": field}).Counter("invalid_input").Inc(1)
}

func (m *Metrics) reservation(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("reservations").Inc(1)
}

func (m *Metrics) queueLength(priority, requests int) {
	m.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge("queue_length").Update(float64(requests))
}

func (m *Metrics) waitEnded(priority int, reason waitEnd, waited time.Duration) {
	tags := map[string]string{"priority": strconv.Itoa(priority), "reason": string(reason)}
	m.scope.Tagged(tags).Histogram("queue_wait", latencyBuckets).RecordDuration(waited)
}
