package forwarding

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/request/headers"
	"github.com/flamingohold/flamingohold/internal/version/route"
)

// maxPlainBody bounds the answer to a plain request in bytes. The answer is
// buffered completely before any of it is sent to the caller, so that a truncated
// answer never looks complete.
const maxPlainBody = 8 << 20

// plainAnswer is a complete answer of an upstream.
type plainAnswer struct {
	status   int
	header   http.Header
	body     []byte
	upstream directory.View
}

// errEndUnconfirmed is the error of an answer without a length whose upstream ended
// with it.
var errEndUnconfirmed = errors.New("upstream ended with an answer that has no length")

// servePlain serves a request whose answer is not streamed.
func (c *call) servePlain(ctx context.Context) {
	var failure *plainAnswer
	for c.mayTry(ctx) {
		v, done, ok := c.chooseUpstream(ctx)
		if !ok {
			break
		}
		answer, result, err := c.attemptPlain(ctx, v)
		done()
		if c.requestCancelled() {
			c.endCancelled(v)
			return
		}
		c.countOutcome(result)
		switch {
		case result == answered && !c.shouldRetry(answer):
			c.deliver(answer)
			return
		case result == answered:
			failure = answer
		case result == lost && !c.route.Repeatable():
			c.refuse(c.outcomeUnknown(v, err))
			return
		}
	}
	c.giveUp(ctx, failure)
}

// giveUp ends a request without a successful answer. The caller receives the
// last error response of an upstream, or a refusal if there is none.
func (c *call) giveUp(ctx context.Context, failure *plainAnswer) {
	_, stopping := c.Stopping()
	switch {
	case failure != nil:
		c.deliver(failure)
	case c.requestCancelled() && !stopping:
		c.endCancelled(directory.View{})
	case c.rejection != nil:
		c.refuse(*c.rejection)
	case errors.Is(context.Cause(ctx), errPromptBlocked):
		c.refuse(c.promptBlocked())
	case c.mayHaveRun && ctx.Err() != nil:
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	case c.mayHaveRun:
		c.refuse(refusal{status: http.StatusBadGateway, reason: "no_answer"})
	case ctx.Err() != nil:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timeout_not_run", retryAfter: busyRetryAfter})
	default:
		c.refuse(c.noUpstream())
	}
}

// shouldRetry reports whether the request should be retried at another upstream
// after this answer.
func (c *call) shouldRetry(a *plainAnswer) bool {
	return c.route.Kind == route.Idempotent && a.status >= http.StatusInternalServerError && c.sends < c.route.MaxAttempts
}

func (c *call) attemptPlain(ctx context.Context, v directory.View) (*plainAnswer, outcome, error) {
	now := c.Clock()
	answer, result, err := c.send(ctx, v, c.request(v, now))
	if result != answered {
		return nil, result, err
	}
	defer answer.Close()
	body, err := answer.Body(maxPlainBody)
	if err == nil && answer.CloseDelimited() && c.r.Method != http.MethodHead && !c.confirmClosed(ctx, v, 0) {
		err = errEndUnconfirmed
	}
	if err != nil {
		c.Directory.RecordOutcome(v.ID, true, c.Clock())
		c.recordIncompleteAnswer(v, answer, err)
		return nil, lost, err
	}
	c.Directory.RecordOutcome(v.ID, answer.Status >= http.StatusInternalServerError, c.Clock())
	return &plainAnswer{status: answer.Status, header: headers.EndToEnd(answer.Header), body: body, upstream: v}, answered, nil
}

// deliver passes the answer on to the caller.
func (c *call) deliver(a *plainAnswer) {
	copyHeader(c.w.Header(), a.header)
	if c.r.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	_, err := c.w.Write(a.body)
	c.recordAnswer(a.upstream, a.status, 0, err)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// outcomeUnknown returns the refusal for a request that may have run.
func (c *call) outcomeUnknown(v directory.View, err error) refusal {
	if errors.Is(err, errTimeout) {
		return refusal{status: http.StatusGatewayTimeout, reason: "timeout", upstream: v.ID, err: err}
	}
	if errors.Is(err, errPromptBlocked) {
		return c.promptBlocked()
	}
	return refusal{status: http.StatusBadGateway, reason: "outcome_unknown", upstream: v.ID, err: err}
}
