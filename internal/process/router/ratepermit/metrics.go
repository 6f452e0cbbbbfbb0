package ratepermit

import "github.com/uber-go/tally/v4"

// metrics counts the permits that this router requested.
type metrics struct{ granted, refused, failed tally.Counter }

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("permits")
	return &metrics{granted: scope.Counter("granted"), refused: scope.Counter("refused"), failed: scope.Counter("issuer_failed")}
}
