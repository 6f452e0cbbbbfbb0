package membership

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

// maxSelectionAge bounds how long a selection is kept without a change.
const maxSelectionAge = time.Minute

// selection is the usable instances of a service in a span of time. It saves
// the look at 1,400 instances for each request.
type selection struct {
	usable []instance.Instance
	// from and until bound the span in which no hold or ejection ends.
	from, until time.Time
}

func (s selection) valid(now time.Time) bool {
	return !now.Before(s.from) && now.Before(s.until)
}
