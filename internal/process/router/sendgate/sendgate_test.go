package sendgate

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/router/ratepermit"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

// restrictions are the restrictions on one upstream.
type restrictions struct {
	limited  bool
	permit   ratepermit.Decision
	admitted bool
	// maxWait is the wait of the last request for a permit, and admissions counts the
	// requests that were counted against the rate of a cold upstream.
	maxWait    time.Duration
	admissions int
	leaving    bool
	// pause is the time for which the upstream wants no requests.
	pause time.Duration
}

func (r *restrictions) Limit(u statedlimit.Upstream) statedlimit.Limit {
	return statedlimit.Limit{Upstream: u, Limited: r.limited}
}

func (r *restrictions) Acquire(_ context.Context, _ statedlimit.Upstream, maxWait time.Duration) ratepermit.Decision {
	r.maxWait = maxWait
	return r.permit
}

func (r *restrictions) Admit(string, time.Time) bool {
	r.admissions++
	return r.admitted
}

func (r *restrictions) IsUsable(directory.View, time.Time) bool { return !r.leaving }

func (r *restrictions) Left(string, int64, time.Time) time.Duration { return r.pause }

func (r *restrictions) TakeReturn(string, int64, time.Time) bool { return r.pause == 0 }

func gate(r *restrictions) *Gate {
	return New(Options{Directory: r, Pauses: r, Limits: r, Permits: r, Clock: time.Now})
}

// Guards against a request that one of the restrictions forbids, and against using up
// the rate of a cold upstream for a request that gets no permit.
func TestEveryRestrictionBinds(t *testing.T) {
	for name, c := range map[string]struct {
		r    restrictions
		want Decision
	}{
		"none":     {restrictions{admitted: true}, Decision{Granted: true}},
		"cold":     {restrictions{}, Decision{Reason: Unavailable}},
		"granted":  {restrictions{limited: true, admitted: true, permit: ratepermit.Decision{Granted: true}}, Decision{Granted: true}},
		"no limit": {restrictions{admitted: true, permit: ratepermit.Decision{}}, Decision{Granted: true}},
		"paused": {
			restrictions{limited: true, admitted: true, pause: time.Second, permit: ratepermit.Decision{Granted: true}},
			Decision{Reason: Paused, RetryIn: time.Second},
		},
		"limited": {
			restrictions{limited: true, admitted: true, permit: ratepermit.Decision{RetryIn: time.Second}},
			Decision{Reason: LimitUsedUp, RetryIn: time.Second, MaxWait: time.Minute},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := gate(&c.r).Acquire(t.Context(), directory.View{ID: "u"}, func() time.Duration { return time.Minute })
			require.Equal(t, c.want, got)
			require.Equal(t, got.Reason != LimitUsedUp && got.Reason != Paused, c.r.admissions == 1)
		})
	}
}

// Guards against a request that is sent although its caller has left while it waited.
func TestRequestThatEndsWhileItWaitsIsNotSent(t *testing.T) {
	r := restrictions{limited: true, admitted: true, permit: ratepermit.Decision{Granted: true, Wait: time.Minute}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, Decision{Reason: Cancelled}, gate(&r).Acquire(ctx, directory.View{ID: "u"}, nil))
	require.Zero(t, r.maxWait, "a caller that does not say how long it waits does not wait")
}
