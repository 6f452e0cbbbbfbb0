package forwarding

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/eventstream"
)

// upstreamEnd is how the stream of one upstream ended.
type upstreamEnd int

const (
	// complete: the upstream terminated its stream properly.
	complete upstreamEnd = iota
	// truncated: the stream ended early.
	truncated
	// closed: the connection ended after an event, and nothing else delimits the
	// stream.
	closed
	// callerDisconnected: writing to the caller failed.
	callerDisconnected
)

// endOfStream returns how the upstream's stream ended. A stream that ends inside
// an event is truncated, whatever delimits it.
func (s *stream) endOfStream(answer *upstreamclient.Answer, rest eventstream.Event, err error) (upstreamEnd, error) {
	switch {
	case !answer.Complete():
		return truncated, err
	case len(rest.Data) > 0 && isEventStream(answer.Header):
		return truncated, errInsideEvent
	case answer.CloseDelimited() && s.events == 0:
		return truncated, err
	}
	s.start()
	if len(rest.Data) > 0 {
		if _, err := s.w.Write(rest.Data); err != nil {
			return callerDisconnected, err
		}
	}
	if answer.CloseDelimited() {
		return closed, err
	}
	return complete, nil
}

// errInsideEvent is the error of a stream that ended inside an event.
var errInsideEvent = errors.New("stream ended inside an event")

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(strings.ToLower(h.Get("Content-Type")), "text/event-stream")
}

// closeConfirmDelay is the time after the end of a connection in which the other
// connections to an upstream that has ended are closed as well.
const closeConfirmDelay = 50 * time.Millisecond

// confirmClosed reports whether an answer that only the end of its connection
// delimits is complete: the upstream that ended it still accepts connections. The
// answer has had the given number of events.
func (c *call) confirmClosed(ctx context.Context, v directory.View, events int) bool {
	pause.For(ctx, closeConfirmDelay)
	err := c.Pool.Reach(ctx, v.Address)
	c.Log.Emit(eventlog.StreamEndDecided).Str("request_id", c.id).Str("upstream", v.ID).Int("events", events).
		Bool("complete", err == nil).Err(err).Send()
	return err == nil
}
