package forwarding

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// startRetryAfter is the time in which a starting process loads its routes.
	startRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the time after which an upstream may have room.
	busyRetryAfter = 400 * time.Millisecond
	// stoppingRetryAfter is the base delay for callers of a stopping process, who
	// retry at another one.
	stoppingRetryAfter = 60 * time.Millisecond
	// retrySpread is the width of the random variation of the delay, as a
	// fraction, so that callers do not retry at the same time.
	retrySpread = 0.5
)

// refusal is an error response that the router creates itself.
type refusal struct {
	status int
	// reason is the identifier of the reason in logs, metrics and responses.
	reason string
	// upstream is the upstream that was tried last, empty for none.
	upstream string
	// retryAfter is the delay before the caller may retry, 0 for no retry.
	retryAfter time.Duration
	// isSpread is true if the delays of several refusals differ already, so that no
	// random variation is needed.
	isSpread bool
	err      error
}

// outcome returns whether the request has run, as the problem document states
// it.
func (r refusal) outcome() string {
	switch {
	case impliesNotRun(r.status):
		return problem.OutcomeNotRun
	case r.status >= http.StatusInternalServerError:
		return problem.OutcomeUnknown
	default:
		return problem.OutcomeRejected
	}
}

// refuse sends the refusal to the caller, logs and counts it.
func (c *call) refuse(r refusal) {
	p := problem.New(r.reason, r.status, r.outcome(), "").WithRequest(c.id)
	if r.retryAfter > 0 {
		after := r.retryAfter
		if !r.isSpread {
			after = time.Duration(float64(after) * (1 + retrySpread*(rand.Float64()-0.5)))
		}
		p = p.WithRetryAfter(after)
		c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	c.Metrics.refused(r.reason)
	e := c.Log.Emit(eventlog.CallRefused).Str("request_id", c.id).Int("status", r.status).Str("reason", r.reason).
		Str("upstream", r.upstream).Int("sends", c.sends).Int("unsent", c.unsent).
		Dur("after", c.Clock().Sub(c.received)).Err(r.err)
	if c.table != nil {
		e = e.Int64("table_version", c.table.Version())
	}
	if c.route != nil {
		e = e.Str("route", c.route.Name)
	}
	if c.service != nil {
		e = e.Str("service", c.service.Name).Int("usable", len(c.Directory.Service(c.service.Name, c.Clock())))
	}
	e.Send()
	writeProblem(c.w, p)
}

func writeProblem(w http.ResponseWriter, p problem.Problem) {
	// An error means that the caller has disconnected.
	_ = p.Write(w)
}

// recordAnswer logs and counts an answer of the upstream that was passed on.
func (c *call) recordAnswer(v directory.View, status, events int, err error) {
	elapsed := c.Clock().Sub(c.received)
	c.Metrics.answered(c.route.Kind, status, elapsed)
	c.Log.Emit(eventlog.CallAnswered).Str("request_id", c.id).Str("route", c.route.Name).Str("upstream", v.ID).
		Int("status", status).Int("sends", c.sends).Int("events", events).Dur("took", elapsed).
		Int64("table_version", c.table.Version()).Err(err).Send()
}

// endCancelled ends an unanswered request whose context was cancelled: the caller
// has disconnected, or the stopping process cancels its requests before it
// closes their connections. Without a status the listener would send an empty
// 200. The method returns only if it has sent a refusal; otherwise it aborts the
// handler.
func (c *call) endCancelled(v directory.View) {
	if _, stopping := c.Stopping(); stopping {
		c.refuse(refusal{status: http.StatusBadGateway, reason: "process_ended", upstream: v.ID})
		return
	}
	c.recordAbandoned(v)
	panic(http.ErrAbortHandler)
}

// recordAbandoned logs and counts that the caller has disconnected.
func (c *call) recordAbandoned(v directory.View) {
	c.Metrics.abandoned()
	c.Log.Emit(eventlog.CallAbandoned).Str("request_id", c.id).Str("route", c.route.Name).Str("upstream", v.ID).
		Dur("after", c.Clock().Sub(c.received)).Send()
}
