package forwarding

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/exchange"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/relocation"
	"github.com/flamingohold/flamingohold/internal/request/eventstream"
	"github.com/flamingohold/flamingohold/internal/request/headers"
)

// stream is the answer to a request for a stream, over all its upstreams.
type stream struct {
	*call
	run *relocation.Run
	// head is the answer whose header the caller gets, that of the first
	// upstream that answered.
	head *exchange.Answer
	// started is true once the caller has got a part.
	started bool
	// lastID is the last event that the caller has, empty for none.
	lastID string
	events int
	// heard records the first event of the present upstream, or the end.
	heard func()
	// moves counts the continued legs.
	moves int
	// lastAt is when the last event came.
	lastAt time.Time
	// longestGap is the longest pause between two events.
	longestGap time.Duration
}

// legEnd tells how the stream of one upstream ended.
type legEnd int

const (
	// complete: the upstream ended its stream properly.
	complete legEnd = iota
	// cut: the stream ended early.
	cut
	// callerGone: the caller does not take any more.
	callerGone
)

// serveStream serves a request with a stream of events.
func (c *call) serveStream(ctx context.Context) {
	s := &stream{call: c, lastID: c.r.Header.Get(c.Names.LastEventID)}
	for c.mayTry(ctx) {
		v, done, ok := c.place(c.Clock())
		if !ok {
			break
		}
		if s.serveFrom(ctx, v, done) {
			return
		}
	}
	s.giveUp(ctx)
}

// serveFrom runs the request at the upstream and calls done at the end. It
// returns true if the request has ended, and false if it may be sent to another
// upstream.
func (s *stream) serveFrom(ctx context.Context, v directory.View, done func()) bool {
	defer done()
	s.run = relocation.NewRun(s.id, s.service.Name, v, s.sizes.Prompt, s.sizes.Output)
	s.Relocator.Begin(s.Process, s.run)
	defer s.Relocator.End(s.run)
	request := s.request(v, s.Clock())
	if s.lastID != "" {
		request.Header.Set(s.Names.LastEventID, s.lastID)
	}
	s.heard = s.Directory.Await(v.ID, s.Clock())
	defer s.heard()
	answer, result, err := s.send(ctx, v, request)
	if s.callerLeft() {
		s.closeAnswer(answer)
		s.leave(v)
		return true
	}
	s.note(result)
	switch result {
	case answered:
		return s.relay(ctx, v, answer)
	case lost:
		return s.lostAnswer(ctx, v, err)
	default:
		return false
	}
}

func (s *stream) closeAnswer(a *exchange.Answer) {
	if a != nil {
		a.Close()
	}
}

// lostAnswer deals with a request that was sent and not answered.
func (s *stream) lostAnswer(ctx context.Context, v directory.View, err error) bool {
	if h, ok := s.run.Continue(ctx); ok {
		return s.follow(ctx, v, h)
	}
	return s.failedLeg(v, err)
}

// relay passes the answer of the first upstream on and follows the run to
// others. It returns true if the request has ended.
func (s *stream) relay(ctx context.Context, v directory.View, answer *exchange.Answer) bool {
	if !isSuccess(answer.Status) {
		return s.relayFailure(v, answer)
	}
	if s.head == nil {
		s.head = answer
	}
	end, err := s.relayEvents(answer)
	answer.Close()
	return s.ended(ctx, v, end, err)
}

// relayFailure passes on an answer that is no stream.
func (s *stream) relayFailure(v directory.View, answer *exchange.Answer) bool {
	defer answer.Close()
	body, err := answer.Body(maxPlainBody)
	if err != nil || s.started {
		s.logAttempt(v, lost, answer, err)
		return s.failedLeg(v, err)
	}
	s.deliver(&plainAnswer{status: answer.Status, header: headers.EndToEnd(answer.Header), body: body, upstream: v})
	return true
}

// failedLeg ends the request unless it may be repeated.
func (s *stream) failedLeg(v directory.View, err error) bool {
	if s.route.MayRepeat() {
		return false
	}
	if s.started {
		s.breakOff(v, err)
	}
	s.refuse(s.outcomeUnknown(v, err))
	return true
}

// ended decides what follows the end of an upstream's stream.
func (s *stream) ended(ctx context.Context, v directory.View, end legEnd, err error) bool {
	switch {
	case end == complete:
		s.finish(v)
		return true
	case end == callerGone || s.callerLeft():
		s.leave(v)
		return true
	}
	if h, ok := s.run.Continue(ctx); ok {
		return s.follow(ctx, v, h)
	}
	s.Directory.Outcome(v.ID, true, s.Clock())
	s.Log.Emit(eventlog.AttemptFailed).Str("request_id", s.id).Str("upstream", v.ID).Str("outcome", "cut").
		Int("events", s.events).Err(err).Send()
	return s.failedLeg(v, err)
}

// follow continues the run from its copy. It returns true if the request has
// ended.
func (s *stream) follow(ctx context.Context, from directory.View, h relocation.Handoff) bool {
	answer, err := s.continueAt(ctx, h.Target, h.From)
	at := h.Target
	if err != nil && h.Source.ID != "" && ctx.Err() == nil {
		at = h.Source
		answer, err = s.continueAt(ctx, h.Source, h.From)
	}
	if s.callerLeft() {
		s.closeAnswer(answer)
		s.leave(at)
		return true
	}
	if err != nil {
		return s.failedLeg(from, err)
	}
	s.moves++
	s.Metrics.resumed(true)
	tokens := s.sizes.Prompt + s.sizes.Output
	s.Directory.Begin(at.ID, tokens, s.Clock())
	defer s.Directory.End(at.ID, tokens)
	s.Relocator.Moved(s.Process, s.run, at)
	if s.head == nil {
		s.head = answer
	}
	end, err := s.relayEvents(answer)
	answer.Close()
	return s.ended(ctx, at, end, err)
}

// continueAt sends the request so that it goes on from the copy.
func (s *stream) continueAt(ctx context.Context, v directory.View, from string) (*exchange.Answer, error) {
	request := s.request(v, s.Clock())
	request.Header.Set(s.Names.CopiedFrom, from)
	if s.lastID != "" {
		request.Header.Set(s.Names.LastEventID, s.lastID)
	}
	answer, result, err := s.send(ctx, v, request)
	if result != answered {
		return nil, errors.CombineErrors(errors.Newf("continue at %s: %s", v.ID, result), err)
	}
	if !isSuccess(answer.Status) {
		finish(answer)
		return nil, errors.Newf("continue at %s: status %d", v.ID, answer.Status)
	}
	return answer, nil
}

// relayEvents passes whole events on as they come.
func (s *stream) relayEvents(answer *exchange.Answer) (legEnd, error) {
	reader := eventstream.New(answer)
	for {
		event, err := reader.Next()
		if err != nil {
			return s.legEnd(answer, event, err)
		}
		if s.seen(event.ID) {
			continue
		}
		s.noteEvent(event.ID)
		s.start()
		if _, err := s.w.Write(event.Data); err != nil {
			return callerGone, err
		}
		if !reader.Buffered() {
			s.flush()
		}
	}
}

// legEnd passes on what follows the last event if the stream is complete.
func (s *stream) legEnd(answer *exchange.Answer, rest eventstream.Event, err error) (legEnd, error) {
	if !answer.Whole() {
		return cut, err
	}
	if answer.Unframed() {
		// A connection that ends is no proof of a whole stream.
		return cut, err
	}
	s.start()
	if len(rest.Data) > 0 {
		if _, err := s.w.Write(rest.Data); err != nil {
			return callerGone, err
		}
	}
	return complete, nil
}

// seen reports whether the caller has the event already.
func (s *stream) seen(id string) bool {
	if id == "" || s.lastID == "" {
		return false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	return err == nil && number <= last
}

func (s *stream) noteEvent(id string) {
	now := s.Clock()
	s.heard()
	if s.events == 0 {
		s.Metrics.firstEvent(now.Sub(s.received))
	} else if gap := now.Sub(s.lastAt); gap > s.longestGap {
		s.longestGap = gap
	}
	s.lastAt = now
	s.events++
	s.run.Event()
	if id != "" {
		s.lastID = id
	}
}

// start sends the head of the first upstream's answer.
func (s *stream) start() {
	if s.started {
		return
	}
	s.started = true
	copyHeader(s.w.Header(), headers.EndToEnd(s.head.Header))
	s.w.WriteHeader(s.head.Status)
}

func (s *stream) flush() {
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (s *stream) finish(v directory.View) {
	s.Directory.Outcome(v.ID, false, s.Clock())
	took := s.Clock().Sub(s.received)
	s.Metrics.answered(s.route.Kind, s.head.Status, took)
	s.Log.Emit(eventlog.CallAnswered).Str("request_id", s.id).Str("route", s.route.Name).Str("upstream", v.ID).
		Int("status", s.head.Status).Int("sends", s.sends).Int("events", s.events).Int("moves", s.moves).
		Dur("longest_gap", s.longestGap).Dur("took", took).Int64("table_version", s.table.Version()).Send()
}

// leave ends a request whose context has ended. A stream that has begun is
// broken off, so that its part does not look whole. It returns only if the
// request has got another answer.
func (s *stream) leave(v directory.View) {
	if s.started {
		s.abandoned(v)
		panic(http.ErrAbortHandler)
	}
	s.call.leave(v)
}

// giveUp ends a request that no upstream completed.
func (s *stream) giveUp(ctx context.Context) {
	if s.started {
		s.breakOff(directory.View{}, context.Cause(ctx))
	}
	s.call.giveUp(ctx, nil)
}

// breakOff closes the caller's connection, so that the part of the answer that
// it has does not look whole. It does not return.
func (s *stream) breakOff(v directory.View, err error) {
	s.Metrics.broken()
	s.Log.Emit(eventlog.CallBroken).Str("request_id", s.id).Str("route", s.route.Name).Str("upstream", v.ID).
		Int("events", s.events).Int("moves", s.moves).Dur("after", s.Clock().Sub(s.received)).Err(err).Send()
	panic(http.ErrAbortHandler)
}
