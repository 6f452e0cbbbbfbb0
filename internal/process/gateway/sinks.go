package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/flamingohold/flamingohold/internal/request/completion"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/eventid"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// idleEvent is the time after which a comment is sent to the caller of a
// generation that stands still, so that devices in between keep the connection.
const idleEvent = 15 * time.Second

// maxStatus is the largest status that HTTP knows.
const maxStatus = 599

// sink takes the parts of a generation for the caller.
type sink interface {
	// token takes the next token.
	token(generation string, seq uint64, data []byte) error
	// flush sends what token has taken.
	flush()
	// idle is called now and then while no token comes.
	idle(now time.Time)
	// started reports whether the caller has received a token, after which no
	// other generation may continue the answer.
	started() bool
	// restart forgets the tokens of a generation that is replaced.
	restart()
	// end completes the answer.
	end()
	// fail ends the answer with the problem.
	fail(p problem.Problem)
}

// eventSink sends tokens as server-sent events.
type eventSink struct {
	session *session
	buffer  []byte
	// delivered is true once a token was written, and last is when.
	delivered bool
	last      time.Time
	dirty     bool
}

var (
	doneEvent = []byte("data: [DONE]\n\n")
	idleLine  = []byte(":\n\n")
)

func (e *eventSink) token(generation string, seq uint64, data []byte) error {
	if !e.delivered {
		e.begin()
	}
	e.buffer = append(e.buffer[:0], "id: "...)
	e.buffer = eventid.ID{Generation: generation, Token: seq}.Append(e.buffer)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
	e.dirty = true
	_, err := e.session.writer.Write(e.buffer)
	return err
}

func (e *eventSink) begin() {
	e.delivered = true
	h := e.session.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	e.session.writer.WriteHeader(http.StatusOK)
}

func (e *eventSink) flush() {
	if e.dirty {
		e.dirty = false
		e.last = e.session.gateway.clock()
		e.session.writer.Flush()
	}
}

func (e *eventSink) idle(now time.Time) {
	if e.delivered && now.Sub(e.last) > idleEvent {
		_, _ = e.session.writer.Write(idleLine)
		e.dirty = true
		e.flush()
	}
}

func (e *eventSink) started() bool { return e.delivered }

func (e *eventSink) restart() {}

func (e *eventSink) end() {
	if !e.delivered {
		e.begin()
	}
	_, _ = e.session.writer.Write(doneEvent)
	e.session.writer.Flush()
}

func (e *eventSink) fail(p problem.Problem) {
	if !e.delivered {
		e.session.refuse(p)
		return
	}
	p = e.session.located(asIncomplete(p))
	e.session.record(p)
	data, err := encodeStreamError(p)
	if err != nil {
		return
	}
	e.buffer = append(e.buffer[:0], "event: error\ndata: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
	_, _ = e.session.writer.Write(e.buffer)
	e.session.writer.Flush()
}

// asIncomplete states of a problem that ends a begun answer what it means for
// the answer, whatever it says of the last step.
func asIncomplete(p problem.Problem) problem.Problem {
	p.Outcome = problem.OutcomeIncomplete
	p.Retryable = false
	p.RetryAfterSeconds = 0
	return p.WithStatus(http.StatusBadGateway)
}

// wholeSink collects tokens and sends one response.
type wholeSink struct {
	session    *session
	completion completion.Completion
}

func (s *wholeSink) token(_ string, _ uint64, data []byte) error { return s.completion.Add(data) }

func (s *wholeSink) flush() {}

func (s *wholeSink) idle(time.Time) {}

func (s *wholeSink) started() bool { return false }

func (s *wholeSink) restart() { s.completion = completion.Completion{} }

func (s *wholeSink) end() {
	body, err := s.completion.Encode()
	if err != nil {
		s.session.refuse(problem.Incomplete("empty_generation", err.Error()))
		return
	}
	h := s.session.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = s.session.writer.Write(body)
}

func (s *wholeSink) fail(p problem.Problem) { s.session.refuse(p) }

// respond passes an upstream's response on.
func (s *session) respond(f *frame.Frame) {
	if f.Status < http.StatusOK || f.Status > maxStatus {
		s.refuse(problem.Incomplete("malformed_response", "the upstream answered with status "+strconv.Itoa(f.Status)))
		return
	}
	h := s.writer.Header()
	for name, values := range f.Header {
		if !hopByHop(name, f.Header) && name != requestIDHeader {
			h[http.CanonicalHeaderKey(name)] = values
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(f.Body)))
	if length := f.Header.Get("Content-Length"); length != "" && s.request.Method == http.MethodHead {
		h.Set("Content-Length", length)
	}
	if f.Replayed {
		h.Set("Idempotency-Replayed", "true")
	}
	s.writer.WriteHeader(f.Status)
	_, _ = s.writer.Write(f.Body)
}
