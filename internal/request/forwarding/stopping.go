package forwarding

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/version/route"
)

// Stop is the planned stop of a process.
type Stop struct {
	// Begin is when the process learned that it stops, and End when it exits.
	Begin, End time.Time
}

const (
	// newCallersPeriod is the time at the begin of a stop in which the platform may
	// still direct new callers to the process, and their retries as well.
	newCallersPeriod = 2 * time.Second
	// tokenTime is the time that a crowded engine needs for one token, and
	// firstTokenTime the time until it has processed a prompt.
	tokenTime      = 20 * time.Millisecond
	firstTokenTime = 3 * time.Second
	// stopMargin is the time before a stopping process exits in which no request
	// may still be running.
	stopMargin = 500 * time.Millisecond
)

// refuseUnfinishable refuses a request that could still be running when the
// process exits if it is sent now. Another router can complete it.
func (c *call) refuseUnfinishable(now time.Time) *refusal {
	stop, stopping := c.Stopping()
	if !stopping {
		return nil
	}
	latestEnd := c.latestEnd(stop, now)
	if latestEnd.Before(stop.End.Add(-stopMargin)) {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stoppingRetryAfter + c.TimeUntilAvailable(now),
		err: errors.Newf("may take %s, but the process exits in %s", latestEnd.Sub(now), stop.End.Sub(now)),
	}
}

// latestEnd returns the latest time at which the request is expected to end. Only
// its deadline is certain, because nothing bounds how long an engine takes. While
// new callers arrive, a stream is expected to end as on a crowded engine instead:
// a refused caller may come to a router that has just begun to stop as well.
func (c *call) latestEnd(s Stop, now time.Time) time.Time {
	if c.route.Kind != route.Streaming || c.sizes.MaxOutput <= 0 || now.Sub(s.Begin) >= newCallersPeriod {
		return c.deadline
	}
	expected := now.Add(firstTokenTime + time.Duration(c.sizes.MaxOutput)*tokenTime)
	if expected.Before(c.deadline) {
		return expected
	}
	return c.deadline
}
