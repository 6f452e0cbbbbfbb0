package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/request/completion"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/eventid"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// keepAliveInterval is the time without a token after which a comment is sent to
// the caller, so that proxies and firewalls do not close an idle connection.
const keepAliveInterval = 15 * time.Second

// sink writes a generation to the caller.
type sink interface {
	// token adds the next token.
	token(generation string, seq uint64, data []byte) error
	// flush sends the tokens added so far.
	flush()
	// keepAlive keeps the caller's connection open. It is called when a frame
	// without content, such as a heartbeat, arrives.
	keepAlive(now time.Time)
	// started reports whether a token was sent to the caller. After that, no
	// other generation may continue the answer.
	started() bool
	// reset discards the tokens of a generation that is being replaced.
	reset()
	// end completes the answer.
	end()
	// fail ends the answer with a problem.
	fail(p problem.Problem)
}

// eventStreamSink sends each token as a server-sent event.
type eventStreamSink struct {
	session *session
	buffer  []byte
	// headerWritten is true once the response header was written.
	headerWritten bool
	lastFlush     time.Time
	unflushed     bool
}

var (
	doneEvent        = []byte("data: [DONE]\n\n")
	keepAliveComment = []byte(":\n\n")
)

func (e *eventStreamSink) token(generation string, seq uint64, data []byte) error {
	if !e.headerWritten {
		e.writeHeader()
	}
	e.buffer = append(e.buffer[:0], "id: "...)
	e.buffer = eventid.ID{Generation: generation, Token: seq}.Append(e.buffer)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
	e.unflushed = true
	_, err := e.session.writer.Write(e.buffer)
	return err
}

func (e *eventStreamSink) writeHeader() {
	e.headerWritten = true
	h := e.session.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	e.session.writer.WriteHeader(http.StatusOK)
}

func (e *eventStreamSink) flush() {
	if e.unflushed {
		e.unflushed = false
		e.lastFlush = e.session.gateway.clock()
		e.session.writer.Flush()
	}
}

func (e *eventStreamSink) keepAlive(now time.Time) {
	if e.headerWritten && now.Sub(e.lastFlush) > keepAliveInterval {
		_, _ = e.session.writer.Write(keepAliveComment)
		e.unflushed = true
		e.flush()
	}
}

func (e *eventStreamSink) started() bool { return e.headerWritten }

func (e *eventStreamSink) reset() {}

func (e *eventStreamSink) end() {
	if !e.headerWritten {
		e.writeHeader()
	}
	_, _ = e.session.writer.Write(doneEvent)
	e.session.writer.Flush()
}

func (e *eventStreamSink) fail(p problem.Problem) {
	if !e.headerWritten {
		e.session.refuse(p)
		return
	}
	p = e.session.completeProblem(asIncomplete(p))
	e.session.recordProblem(p)
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

// asIncomplete returns the problem with the outcome incomplete and not retryable.
// Once part of the answer was sent, this is the outcome whatever the last
// attempt reported.
func asIncomplete(p problem.Problem) problem.Problem {
	p.Outcome = problem.OutcomeIncomplete
	p.Retryable = false
	p.RetryAfterSeconds = 0
	return p.WithStatus(http.StatusBadGateway)
}

// bufferedSink collects all tokens and sends them as one response.
type bufferedSink struct {
	session    *session
	completion completion.Completion
}

func (s *bufferedSink) token(_ string, _ uint64, data []byte) error { return s.completion.Add(data) }

func (s *bufferedSink) flush() {}

func (s *bufferedSink) keepAlive(time.Time) {}

func (s *bufferedSink) started() bool { return false }

func (s *bufferedSink) reset() { s.completion = completion.Completion{} }

func (s *bufferedSink) end() {
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

func (s *bufferedSink) fail(p problem.Problem) { s.session.refuse(p) }

// respond forwards an upstream's response to the caller. A sidecar of an earlier version
// may have stored a malformed one.
func (s *session) respond(f *frame.Frame) {
	if err := checkHead(f); err != nil {
		s.refuse(problem.Incomplete("malformed_response", err.Error()))
		return
	}
	h := s.writer.Header()
	for name, values := range f.Header {
		if !isHopByHop(name, f.Header) && name != requestIDHeader {
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

// checkHead returns an error if the response's status is not final or one of its fields has
// a name that is no token.
func checkHead(f *frame.Frame) error {
	if f.Status < http.StatusOK || f.Status > answerhead.MaxStatus {
		return errors.Newf("the upstream answered with status %d", f.Status)
	}
	for name := range f.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("the upstream answered with a field %q", name)
		}
	}
	return nil
}
