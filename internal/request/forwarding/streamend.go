package forwarding

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/bodyend"
	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
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

// confirmClosed reports whether an answer that only the end of its connection
// delimits is complete: the upstream that ended it still accepts connections. The
// answer has had the given number of events.
func (c *call) confirmClosed(ctx context.Context, v directory.View, events int) bool {
	err := bodyend.Confirm(ctx, func(ctx context.Context) error { return c.Pool.Reach(ctx, v.Address) })
	c.Log.Emit(eventlog.StreamEndDecided).Str("request_id", c.id).Str("upstream", v.ID).Int("events", events).
		Bool("complete", err == nil).Err(err).Send()
	return err == nil
}
