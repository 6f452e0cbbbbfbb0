package quota

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/version/account"
)

// Limiter holds this gateway's share of the account limits. It is safe for
// concurrent use.
type Limiter struct{}

// New returns a limiter that assumes the number of gateways until it learns
// shares from demand.
func New(gateways int) *Limiter {
	_ = gateways
	return &Limiter{}
}

// Acquire takes one request of the account. If it is refused, the result is
// the time after which a retry may succeed. Every successful Acquire must be
// followed by one Release.
func (l *Limiter) Acquire(*account.Account, time.Time) (retryAfter time.Duration, ok bool) {
	return 0, true
}

// Release ends a request of the account.
func (l *Limiter) Release(name string, now time.Time) {}
