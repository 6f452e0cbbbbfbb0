package forwarding

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
	"github.com/flamingohold/flamingohold/internal/request/headers"
)

const (
	// maxPermitWait bounds the wait for a permit of the last upstream that a request
	// may be sent to, and permitWaitShare does so as a share of the time that the
	// caller still waits.
	maxPermitWait   = 300 * time.Millisecond
	permitWaitShare = 0.25
	// maxRestrictedRetryAfter bounds the delay after which a caller may retry, who may
	// then reach another router.
	maxRestrictedRetryAfter = 2 * time.Second
)

// observeLimit records what the answer says of the upstream's rate limit. Only
// successes show that there is no limit any more.
func (c *call) observeLimit(v directory.View, o outcome, answer *upstreamclient.Answer, sentAt, now time.Time) {
	if o != answered && o != declined {
		return
	}
	perSecond, limited, err := c.Names.StatedLimit(answer.Header)
	if err != nil {
		c.Log.Emit(eventlog.UpstreamLimitInvalid).Str("request_id", c.id).Str("upstream", v.ID).Err(err).Send()
		return
	}
	if !limited && !isSuccess(answer.Status) {
		return
	}
	c.Limits.Observe(statedlimit.Statement{Upstream: incarnation(v), Limited: limited, PerSecond: perSecond, SentAt: sentAt}, now)
}

// observeLeaving records that the upstream states in the answer that it leaves. An
// answer of another upstream at the same address says nothing of this one.
func (c *call) observeLeaving(v directory.View, o outcome, answer *upstreamclient.Answer, now time.Time) {
	if answer == nil || o == misaddressed {
		return
	}
	leaving, err := c.Names.StatesLeaving(answer.Header)
	switch {
	case err != nil:
		c.Log.Emit(eventlog.UpstreamStatementInvalid).Str("request_id", c.id).Str("upstream", v.ID).Err(err).Send()
	case leaving && c.Directory.MarkLeaving(v.ID, v.Incarnation, now):
		c.Log.Emit(eventlog.UpstreamStatedLeaving).Str("request_id", c.id).Str("upstream", v.ID).
			Int64("incarnation", v.Incarnation).Int("status", answer.Status).Send()
	}
}

// observePause records for how long the upstream wants no further request, which only a
// refusal with status 503 states.
func (c *call) observePause(v directory.View, answer *upstreamclient.Answer, now time.Time) {
	if answer == nil || answer.Status != http.StatusServiceUnavailable {
		return
	}
	asked, err := headers.RetryAfter(answer.Header)
	if err != nil {
		c.Log.Emit(eventlog.UpstreamStatementInvalid).Str("request_id", c.id).Str("upstream", v.ID).Err(err).Send()
		return
	}
	if counted := c.Pauses.Record(v.ID, v.Incarnation, asked, now); counted > 0 {
		c.Log.Emit(eventlog.UpstreamAskedPause).Str("request_id", c.id).Str("upstream", v.ID).
			Int64("incarnation", v.Incarnation).Dur("asked", asked).Dur("counted", counted).Send()
	}
}

// blockPaused blocks the upstreams that have asked for a pause.
func (c *call) blockPaused(views []directory.View) {
	c.paused = 0
	for i := range views {
		left := c.Gate.PauseLeft(views[i])
		if left <= 0 {
			continue
		}
		c.paused++
		views[i].Blocked = true
		c.noteSendableIn(left)
	}
}

// noteSendableIn records that an upstream may get the request after the given time.
func (c *call) noteSendableIn(after time.Duration) {
	if after > 0 && (c.sendableIn == 0 || after < c.sendableIn) {
		c.sendableIn = after
	}
}

// acquire reports whether the request may be sent to the upstream now. It waits for a
// permit only if isLast reports that this is the last upstream that the request may
// be sent to.
func (c *call) acquire(ctx context.Context, v directory.View, isLast func() bool) bool {
	d := c.Gate.Acquire(ctx, v, func() time.Duration {
		if !isLast() {
			return 0
		}
		left := time.Duration(permitWaitShare * float64(c.deadline.Sub(c.Clock())))
		return max(0, min(maxPermitWait, left))
	})
	if d.Granted {
		return true
	}
	c.noteSendableIn(d.RetryIn)
	c.noteAdmitsIn(v, d.RetryIn)
	c.Log.Emit(eventlog.PermitRefused).Str("request_id", c.id).Str("upstream", v.ID).Str("reason", string(d.Reason)).
		Float64("per_second", d.Limit.PerSecond).Uint64("limit_version", d.Limit.Version).Dur("max_wait", d.MaxWait).
		Dur("retry_in", d.RetryIn).Send()
	return false
}

// noteAdmitsIn records that the upstream may admit the request after the given time.
func (c *call) noteAdmitsIn(v directory.View, after time.Duration) {
	if after <= 0 {
		return
	}
	if c.admitsAt == nil {
		c.admitsAt = make(map[string]time.Time)
	}
	c.admitsAt[v.ID] = c.Clock().Add(after)
}

// incarnation identifies the incarnation of the upstream.
func incarnation(v directory.View) statedlimit.Upstream {
	return statedlimit.Upstream{ID: v.ID, Incarnation: v.Incarnation}
}

// noUpstream returns the refusal of a request that no upstream may get now.
func (c *call) noUpstream() refusal {
	if c.sendableIn > 0 {
		return c.restrictedRefusal()
	}
	return refusal{status: http.StatusServiceUnavailable, reason: "no_upstream", retryAfter: busyRetryAfter}
}

// restrictedRefusal returns the refusal of a request that no upstream may get for a
// while. The spread of its delay begins at the time when one may.
func (c *call) restrictedRefusal() refusal {
	wait := max(busyRetryAfter, min(maxRestrictedRetryAfter, c.sendableIn))
	return refusal{
		status: http.StatusServiceUnavailable, reason: "upstream_limits",
		retryAfter: time.Duration(float64(wait) / (1 - retrySpread/2)),
	}
}
