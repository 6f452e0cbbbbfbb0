package forwarding

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/router/selection"
)

// gapPrediction says whether an upstream is expected to keep the longest gap between
// events that a route accepts.
type gapPrediction string

const (
	gapKept     gapPrediction = "kept"
	gapExceeded gapPrediction = "exceeded"
	// gapUnknown is the prediction if the upstream's pace is unknown or the route
	// accepts any gap.
	gapUnknown gapPrediction = "unknown"
)

// predictGap returns the prediction for the upstream at the time when it is chosen.
func predictGap(v directory.View, gap time.Duration) gapPrediction {
	switch {
	case gap <= 0 || v.EventTime <= 0:
		return gapUnknown
	case selection.KeepsGap(&v, gap):
		return gapKept
	default:
		return gapExceeded
	}
}
