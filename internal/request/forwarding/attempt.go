package forwarding

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/selection"
	"github.com/flamingohold/flamingohold/internal/process/router/sendgate"
)

// outcome is the result of sending the request to one upstream.
type outcome int

const (
	// answered: the upstream ran the request and answered.
	answered outcome = iota
	// unsent: no connection could be opened, so that nothing was sent.
	unsent
	// withdrawn: the upstream started to leave, or asked for a pause, before anything
	// was sent.
	withdrawn
	// misaddressed: the address now belongs to another upstream, which did not
	// run the request.
	misaddressed
	// declined: the upstream states that it did not run the request.
	declined
	// lost: the request was sent and may have run, but there is no valid answer.
	lost
)

func (o outcome) String() string {
	return [...]string{"answered", "unsent", "withdrawn", "misaddressed", "declined", "lost"}[o]
}

// maxUnsent bounds the number of upstreams per request that turn out to be
// unreachable or misaddressed.
const maxUnsent = 4

// mayTry reports whether the request may be sent to another upstream.
func (c *call) mayTry(ctx context.Context) bool {
	if ctx.Err() != nil || c.unsent+c.misaddressed >= maxUnsent {
		return false
	}
	if c.sends+c.misaddressed == 0 {
		return true
	}
	return c.sends < c.route.MaxAttempts && c.mayRepeatPrompt() && c.Budget.TryRetry(c.service.Name, c.Clock())
}

// countOutcome counts the attempt by its outcome.
func (c *call) countOutcome(o outcome) {
	switch o {
	case unsent:
		c.unsent++
	case misaddressed:
		c.misaddressed++
	case declined:
		c.sends++
	case lost, answered:
		c.sends++
		c.mayHaveRun = true
	}
}

// requestCancelled reports whether the caller has closed its connection or the
// process has cancelled the request.
func (c *call) requestCancelled() bool { return c.r.Context().Err() != nil }

// chooseUpstream chooses an upstream and adds the request to its load in the
// directory. The function done must be called when the request has ended there.
func (c *call) chooseUpstream(ctx context.Context) (v directory.View, done func(), ok bool) {
	c.reservation = reservationState{}
	var views []directory.View
	var request selection.Request
	mode := c.searchMode(c.Clock(), func() selection.Request {
		views, request = c.candidates()
		return request
	})
	switch mode {
	case searchInQueue:
		v, done, ok = c.waitForRoom(ctx)
		if ok || c.rejection != nil {
			return v, done, ok
		}
	case searchForRoom:
		v, done, result := c.reserve(ctx, mode.room(c.Headroom))
		if result == roomGranted {
			return v, done, true
		}
	case searchByPace:
		v, done, result := c.reserveAmong(ctx, views, request, mode.room(c.Headroom))
		if result == roomGranted || ctx.Err() != nil {
			return v, done, result == roomGranted
		}
	case searchByScore:
		if views != nil {
			return c.chooseAmong(ctx, views, request)
		}
	}
	if c.dispatch.Enabled && ctx.Err() != nil {
		return directory.View{}, nil, false
	}
	return c.chooseByScore(ctx)
}

// chooseByScore chooses the upstream with the lowest score that may get the request.
func (c *call) chooseByScore(ctx context.Context) (v directory.View, done func(), ok bool) {
	views, request := c.candidates()
	return c.chooseAmong(ctx, views, request)
}

// chooseAmong is chooseByScore among the candidates.
func (c *call) chooseAmong(ctx context.Context, views []directory.View, request selection.Request) (v directory.View, done func(), ok bool) {
	for range views {
		v, ok := selection.Choose(views, request, rand.Float64)
		if !ok {
			return directory.View{}, nil, false
		}
		c.tried[v.ID] = true
		if c.acquire(ctx, v, func() bool { return !selection.HasCandidate(views, request) }) {
			return v, c.begin(v, views, request), true
		}
	}
	return directory.View{}, nil, false
}

// candidates returns the views of the service's upstreams, and the request for the
// selection of one that was not tried.
func (c *call) candidates() ([]directory.View, selection.Request) {
	views := c.Directory.Service(c.service.Name, c.Clock())
	return views, c.selectionOf(views)
}

// selectionOf blocks the views that have asked for a pause, and returns the request for
// the selection of one that was not tried.
func (c *call) selectionOf(views []directory.View) selection.Request {
	c.blockPaused(views)
	request := selection.Request{
		DataCentre: c.DataCentre, Tokens: c.sizes.Prompt, MemoryTokens: c.memoryTokens(), Exclude: c.tried,
		MaxEventGap: c.route.MaxEventGap, OutputEvents: c.outputEvents(),
	}
	if request.MaxEventGap > 0 {
		request.EventTimes = selection.EventTimesOf(views)
	}
	return request
}

// begin adds the request to the load of the chosen upstream and sets its rank there.
// The result must be called when the request has ended there.
func (c *call) begin(v directory.View, views []directory.View, r selection.Request) (done func()) {
	c.rank = c.dispatch.Rank(c.Clock())
	tokens := c.sizes.Prompt + c.sizes.Output
	c.Directory.Add(v.ID, tokens)
	c.logChoice(v, views, r)
	return func() { c.Directory.End(v.ID, tokens) }
}

func (c *call) logChoice(v directory.View, views []directory.View, r selection.Request) {
	line := c.Log.Emit(eventlog.UpstreamChosen)
	if c.dispatch.Enabled {
		line = line.Int("rank", c.rank).Str("reservation", c.reservation.String()).Int("reservations_asked", c.reservation.asked).
			Dur("waited", c.waited)
	}
	line = line.Str("request_id", c.id).Str("route", c.route.Name).Str("upstream", v.ID).
		Int64("table_version", c.table.Version()).Int("usable", len(views)).Int("paused", c.paused).
		Int("with_room", selection.CountWithRoom(views, r)).Bool("reported", v.Reported).
		Dur("report_age", v.ReportAge).Int("waiting", v.Waiting).Int("running", v.Running).Int("memory_used", v.MemoryUsed).
		Int("calls", v.Calls).Float64("failure_rate", v.FailureRate).Bool("cold", v.Cold).
		Dur("time_left", c.deadline.Sub(c.Clock()))
	if r.MaxEventGap > 0 {
		line = line.Dur("event_time", v.EventTime).Dur("reference_event_time", r.EventTimes.Reference).
			Dur("max_event_gap", r.MaxEventGap).Int("output_events", r.OutputEvents)
	}
	line.Send()
}

// send sends the request to the upstream and records the outcome in the
// directory. The answer is nil unless the outcome is answered.
func (c *call) send(ctx context.Context, v directory.View, request *upstreamclient.Request) (*upstreamclient.Answer, outcome, error) {
	sentAt := c.Clock()
	answer, err := c.Pool.Send(ctx, v.Address, request)
	result := c.classify(answer, err)
	now := c.Clock()
	c.observeLimit(v, result, answer, sentAt, now)
	c.observeLeaving(v, result, answer, now)
	c.observePause(v, answer, now)
	c.endReservation(v, result)
	switch result {
	case unsent:
		c.Directory.MarkUnreachable(v.ID, now)
	case misaddressed:
		c.Directory.MarkMisaddressed(v.ID, now)
		c.Pool.CloseAddress(v.Address)
	case declined:
		c.Directory.RecordOutcome(v.ID, true, now)
	case lost:
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errTimeout) {
			c.Directory.RecordOutcome(v.ID, true, now)
		}
		if ctx.Err() == nil && c.service.Engine != nil {
			c.Directory.MarkSuspect(v.ID, now)
		}
	case answered, withdrawn:
	}
	if result != answered {
		c.recordFailedAttempt(v, result, answer, err)
		if answer != nil {
			discard(answer)
			answer = nil
		}
	}
	return answer, result, err
}

// classify returns the outcome of a send that returned the answer or the error.
func (c *call) classify(answer *upstreamclient.Answer, err error) outcome {
	var failure *upstreamclient.Failure
	switch {
	case errors.Is(err, sendgate.ErrWithdrawn):
		return withdrawn
	case errors.As(err, &failure) && !failure.Sent:
		return unsent
	case err != nil:
		return lost
	case answer.Status == http.StatusMisdirectedRequest:
		return misaddressed
	case answer.Header.Get(c.Names.NotRun) != "":
		return declined
	case isSuccess(answer.Status) && answer.Header.Get(c.Names.Seal) == "":
		return lost
	case impliesNotRun(answer.Status):
		// The upstream did not state that the request has not run, so the caller
		// must not receive a status that implies it.
		return lost
	default:
		return answered
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// impliesNotRun reports whether callers infer from the status that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return true
	default:
		return false
	}
}

// maxDiscardedBody bounds the body of a discarded answer in bytes.
const maxDiscardedBody = 64 << 10

// discard reads an answer that is not passed on, so that its connection can be
// reused.
func discard(a *upstreamclient.Answer) {
	_, _ = a.Body(maxDiscardedBody)
	a.Close()
}

// recordFailedAttempt logs and counts a failed attempt.
func (c *call) recordFailedAttempt(v directory.View, o outcome, answer *upstreamclient.Answer, err error) {
	status := 0
	if answer != nil {
		status = answer.Status
	}
	c.Metrics.attemptFailed(o)
	if errors.Is(err, answerhead.ErrMalformed) {
		c.Metrics.malformedAnswer()
	}
	c.Log.Emit(eventlog.AttemptFailed).Str("request_id", c.id).Str("upstream", v.ID).Str("service", v.Service).
		Str("outcome", o.String()).Int("status", status).Int("calls", v.Calls).Int64("incarnation", v.Incarnation).Strs("parts", c.parts).
		Bool("reported", v.Reported).Dur("report_age", v.ReportAge).Err(err).Send()
}

// recordIncompleteAnswer logs and counts a failed attempt whose answer has a valid head, but
// could not be read to its proper end.
func (c *call) recordIncompleteAnswer(v directory.View, answer *upstreamclient.Answer, err error) {
	if !c.requestCancelled() {
		c.Metrics.incompleteAnswer()
	}
	c.recordFailedAttempt(v, lost, answer, err)
}
