package forwarding

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
)

// provenEvents is the number of events after which an engine has survived the
// beginning of its answer.
const provenEvents = 2

// errPromptBlocked is the cause of a context whose request has a part of a prompt
// that became blocked while an engine read it.
var errPromptBlocked = errors.New("prompt ends engines")

// watchPrompt returns a context that ends with errPromptBlocked if the prompt
// becomes blocked before stop is called.
func (c *call) watchPrompt(ctx context.Context) (watched context.Context, stop func()) {
	if c.service.Engine == nil || len(c.parts) == 0 {
		return ctx, func() {}
	}
	watched, cancel := context.WithCancelCause(ctx)
	unwatch := c.Prompts.Watch(c.parts, func() { cancel(errPromptBlocked) })
	return watched, unwatch
}

// refuseBlocked refuses a request whose prompt has parts that end engines.
func (c *call) refuseBlocked() *refusal {
	if c.service.Engine == nil || len(c.parts) == 0 {
		return nil
	}
	responsible := func(blocked []string) bool { return c.IsResponsible(strings.Join(blocked, " ")) }
	d := c.Prompts.Decide(c.parts, responsible, c.received)
	if len(d.Blocked) == 0 {
		return nil
	}
	c.Log.Emit(eventlog.PromptDecided).Str("request_id", c.id).Strs("parts", c.parts).Strs("blocked", d.Blocked).
		Bool("refused", d.Refused).Dur("retry_after", d.RetryAfter).Send()
	if !d.Refused {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "prompt_blocked", retryAfter: d.RetryAfter}
}

// promptBlocked returns the refusal of a request whose prompt became blocked after
// it was accepted.
func (c *call) promptBlocked() refusal {
	r := refusal{status: http.StatusServiceUnavailable, reason: "prompt_blocked", retryAfter: busyRetryAfter}
	if c.mayHaveRun {
		r = refusal{status: http.StatusBadGateway, reason: "prompt_blocked"}
	}
	return r
}

// mayRepeatPrompt reports whether the prompt may be sent to another engine after
// an attempt.
func (c *call) mayRepeatPrompt() bool {
	return c.service.Engine == nil || c.Prompts.MayRepeat(c.parts, c.Clock())
}

// recordCrash records that the engine ended before it had begun to answer, if the
// error says so.
func (c *call) recordCrash(v directory.View, err error) {
	if c.service.Engine == nil || len(c.parts) == 0 || !isConnectionEnd(err) {
		return
	}
	c.Prompts.RecordCrash(promptblock.Crash{Upstream: v.ID, Incarnation: v.Incarnation, Parts: c.parts, At: c.Clock()})
}

// isConnectionEnd reports whether the peer closed or reset the connection.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
