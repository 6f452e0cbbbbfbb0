package membership

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

// maxSelectionAge bounds how long a selection is cached without a change.
const maxSelectionAge = time.Minute

// selection caches the usable instances of a service for a time span, so that a
// request does not have to scan 1,400 instances.
type selection struct {
	usable []instance.Instance
	// validFrom and validUntil bound a time span in which no hold time or ejection
	// ends.
	validFrom, validUntil time.Time
}

func (s selection) valid(now time.Time) bool {
	return !now.Before(s.validFrom) && now.Before(s.validUntil)
}
