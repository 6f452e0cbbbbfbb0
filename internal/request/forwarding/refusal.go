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
	// startRetryAfter is the time after which a starting process knows its
	// routes.
	startRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the time after which an upstream may have room.
	busyRetryAfter = 400 * time.Millisecond
	// stoppingRetryAfter sends callers of a stopping process to another one.
	stoppingRetryAfter = 60 * time.Millisecond
	// retrySpread is the part by which the time varies, so that callers do not
	// come back together.
	retrySpread = 0.5
)

// refusal is a final answer of the router's own.
type refusal struct {
	status int
	// reason is a word for logs and callers.
	reason string
	// upstream is the upstream that was asked last, empty for none.
	upstream string
	// retryAfter tells the caller when to come back, 0 for never.
	retryAfter time.Duration
	err        error
}

// outcome returns what the refusal says of the request.
func (r refusal) outcome() string {
	switch {
	case promisesNotRun(r.status):
		return problem.OutcomeNotRun
	case r.status >= http.StatusInternalServerError:
		return problem.OutcomeUnknown
	default:
		return problem.OutcomeRejected
	}
}

// refuse answers the caller at once.
func (c *call) refuse(r refusal) {
	p := problem.New(r.reason, r.status, r.outcome(), "").WithRequest(c.id)
	if r.retryAfter > 0 {
		spread := 1 + retrySpread*(rand.Float64()-0.5)
		after := time.Duration(float64(r.retryAfter) * spread)
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
	// A caller that has gone needs no answer.
	_ = p.Write(w)
}

// answered records that the upstream's answer was passed on.
func (c *call) answered(v directory.View, status, events int, err error) {
	took := c.Clock().Sub(c.received)
	c.Metrics.answered(c.route.Kind, status, took)
	c.Log.Emit(eventlog.CallAnswered).Str("request_id", c.id).Str("route", c.route.Name).Str("upstream", v.ID).
		Int("status", status).Int("sends", c.sends).Int("events", events).Dur("took", took).
		Int64("table_version", c.table.Version()).Err(err).Send()
}

// leave ends a request without an answer whose context has ended: the caller has
// gone, or the process ends its requests before it closes their connections. An
// empty answer would look like a success. It returns only if the request has got
// an answer.
func (c *call) leave(v directory.View) {
	if _, stopping := c.Stopping(); stopping {
		c.refuse(refusal{status: http.StatusBadGateway, reason: "process_ended", upstream: v.ID})
		return
	}
	c.abandoned(v)
	panic(http.ErrAbortHandler)
}

// abandoned records that the caller has gone.
func (c *call) abandoned(v directory.View) {
	c.Metrics.abandoned()
	c.Log.Emit(eventlog.CallAbandoned).Str("request_id", c.id).Str("route", c.route.Name).Str("upstream", v.ID).
		Dur("after", c.Clock().Sub(c.received)).Send()
}
