package forwarding

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
	"github.com/flamingohold/flamingohold/internal/request/eventstream"
	"github.com/flamingohold/flamingohold/internal/request/headers"
)

// stream is the answer to a streaming request. It may consist of the streams of
// several upstreams.
type stream struct {
	*call
	run *relocation.Run
	// head is the answer of the first upstream that answered. Its status and
	// header are sent to the caller.
	head *upstreamclient.Answer
	// started is true once status and header were sent to the caller.
	started bool
	// lastID is the identifier of the last event sent to the caller, empty for
	// none.
	lastID string
	events int
	// survived ends the watch on the parts of the prompt.
	survived func()
	// endWait notifies the directory that the current upstream has sent its first
	// event, or that its request has ended.
	endWait func()
	// moves counts how often the run was continued at another upstream.
	moves int
	// lastAt is the time of the last event.
	lastAt time.Time
	// longestGap is the longest time between two events.
	longestGap time.Duration
	// predicted is the prediction for the upstream chosen last.
	predicted gapPrediction
}

// serveStream serves a request whose answer is a stream of events.
func (c *call) serveStream(ctx context.Context) {
	s := &stream{call: c, lastID: c.r.Header.Get(c.Names.LastEventID)}
	ctx, stop := c.watchPrompt(ctx)
	defer stop()
	s.survived = stop
	for c.mayTry(ctx) {
		v, done, ok := c.chooseUpstream(ctx)
		if !ok {
			break
		}
		if s.serveFrom(ctx, v, done) {
			return
		}
	}
	s.giveUp(ctx)
}

// serveFrom sends the request to the upstream, relays the answer and finally
// calls done. It returns true if the request has ended, and false if it may be
// sent to another upstream.
func (s *stream) serveFrom(ctx context.Context, v directory.View, done func()) bool {
	defer done()
	s.predicted = predictGap(v, s.route.MaxEventGap)
	s.run = relocation.NewRun(s.id, s.service.Name, v, s.sizes.Prompt, s.sizes.Output).WithMaxEventGap(s.route.MaxEventGap)
	s.Relocator.Begin(s.ProcessContext, s.run)
	defer s.Relocator.End(s.run)
	request := s.request(v, s.Clock())
	if s.lastID != "" {
		request.Header.Set(s.Names.LastEventID, s.lastID)
	}
	s.endWait = s.Directory.TrackUnanswered(v.ID, s.Clock())
	defer s.endWait()
	answer, result, err := s.send(ctx, v, request)
	if s.requestCancelled() {
		s.closeAnswer(answer)
		s.endCancelled(v)
		return true
	}
	s.countOutcome(result)
	switch result {
	case answered:
		return s.relay(ctx, v, answer)
	case lost:
		return s.lostAnswer(ctx, v, err)
	default:
		return false
	}
}

func (s *stream) closeAnswer(a *upstreamclient.Answer) {
	if a != nil {
		a.Close()
	}
}

// lostAnswer handles a request that was sent and not answered. It returns true
// if the request has ended.
func (s *stream) lostAnswer(ctx context.Context, v directory.View, err error) bool {
	if h, ok := s.run.TakeHandoff(ctx); ok {
		return s.follow(ctx, v, h)
	}
	s.recordCrash(v, err)
	return s.failAttempt(v, err)
}

// relay passes on the upstream's answer, and then the streams of upstreams to
// which the run was moved. It returns true if the request has ended.
func (s *stream) relay(ctx context.Context, v directory.View, answer *upstreamclient.Answer) bool {
	if !isSuccess(answer.Status) {
		return s.relayFailure(v, answer)
	}
	if s.head == nil {
		s.head = answer
	} else if err := checkContinuation(answer); err != nil {
		s.recordFailedAttempt(v, lost, answer, err)
		discard(answer)
		return s.failAttempt(v, err)
	}
	end, err := s.relayEvents(answer)
	answer.Close()
	return s.afterStream(ctx, v, end, err)
}

// relayFailure passes on an error response. It returns true if the request has
// ended.
func (s *stream) relayFailure(v directory.View, answer *upstreamclient.Answer) bool {
	defer answer.Close()
	body, err := answer.Body(maxPlainBody)
	switch {
	case err != nil:
		s.recordIncompleteAnswer(v, answer, err)
		return s.failAttempt(v, err)
	case s.started:
		s.recordFailedAttempt(v, lost, answer, nil)
		return s.failAttempt(v, nil)
	}
	s.deliver(&plainAnswer{status: answer.Status, header: headers.EndToEnd(answer.Header), body: body, upstream: v})
	return true
}

// failAttempt ends the request after a failed attempt, unless it is repeatable.
// It returns true if the request has ended.
func (s *stream) failAttempt(v directory.View, err error) bool {
	if s.route.Repeatable() && !errors.Is(err, errPromptBlocked) {
		return false
	}
	if s.started {
		s.abort(v, err)
	}
	s.refuse(s.outcomeUnknown(v, err))
	return true
}

// afterStream completes, continues or fails the request after the end of an
// upstream's stream. It returns true if the request has ended.
func (s *stream) afterStream(ctx context.Context, v directory.View, end upstreamEnd, err error) bool {
	switch {
	case end == complete:
		s.recordComplete(v)
		return true
	case end == callerDisconnected || s.requestCancelled():
		s.endCancelled(v)
		return true
	}
	if h, ok := s.run.TakeHandoff(ctx); ok {
		return s.follow(ctx, v, h)
	}
	if end == closed && s.confirmClosed(ctx, v, s.events) {
		s.recordComplete(v)
		return true
	}
	if errors.Is(err, errPromptBlocked) {
		return s.failAttempt(v, err)
	}
	if s.events < provenEvents {
		s.recordCrash(v, err)
	}
	s.Directory.RecordOutcome(v.ID, true, s.Clock())
	s.Metrics.incompleteAnswer()
	s.Log.Emit(eventlog.AttemptFailed).Str("request_id", s.id).Str("upstream", v.ID).Str("outcome", "cut").
		Int64("incarnation", v.Incarnation).Strs("parts", s.parts).Int("events", s.events).Err(err).Send()
	return s.failAttempt(v, err)
}

// follow continues the run from the copy of its memory: at the target of the
// handoff, or at its source if the target fails. It returns true if the request
// has ended.
func (s *stream) follow(ctx context.Context, from directory.View, h relocation.Handoff) bool {
	answer, err := s.continueAt(ctx, from, h.Target, h.CopySource)
	at := h.Target
	if err != nil && h.Source.ID != "" && ctx.Err() == nil {
		at = h.Source
		answer, err = s.continueAt(ctx, from, h.Source, h.CopySource)
	}
	if s.requestCancelled() {
		s.closeAnswer(answer)
		s.endCancelled(at)
		return true
	}
	if err != nil {
		return s.failAttempt(from, err)
	}
	s.moves++
	s.Metrics.resumed(true)
	tokens := s.sizes.Prompt + s.sizes.Output
	s.Directory.Add(at.ID, tokens)
	defer s.Directory.End(at.ID, tokens)
	s.Relocator.RecordMove(s.ProcessContext, s.run, at)
	if s.head == nil {
		s.head = answer
	}
	end, err := s.relayEvents(answer)
	answer.Close()
	return s.afterStream(ctx, at, end, err)
}

// continueAt sends the request to the upstream v, which continues the run from the copy.
// The run was at the upstream from. If both are the same, the upstream may be leaving:
// it got the request before.
func (s *stream) continueAt(ctx context.Context, from, v directory.View, copySource string) (*upstreamclient.Answer, error) {
	request := s.request(v, s.Clock())
	if v.ID == from.ID && v.Incarnation == from.Incarnation {
		request.BeforeSend = func() error { return s.Gate.ConfirmReturn(v) }
	}
	request.Header.Set(s.Names.KVSource, copySource)
	if s.lastID != "" {
		request.Header.Set(s.Names.LastEventID, s.lastID)
	}
	answer, result, err := s.send(ctx, v, request)
	if result != answered {
		return nil, errors.CombineErrors(errors.Newf("continue at %s: %s", v.ID, result), err)
	}
	if err := checkContinuation(answer); err != nil {
		s.recordFailedAttempt(v, lost, answer, err)
		discard(answer)
		return nil, errors.Wrapf(err, "continue at %s", v.ID)
	}
	return answer, nil
}

// relayEvents passes on complete events as they arrive. It skips events that
// were sent to the caller before.
func (s *stream) relayEvents(answer *upstreamclient.Answer) (upstreamEnd, error) {
	reader := eventstream.New(answer, answer.Reserve)
	for {
		event, err := reader.Next()
		if err != nil {
			return s.endOfStream(answer, event, err)
		}
		if s.mustContinue(answer) {
			if err := checkEvent(event); err != nil {
				s.flush()
				return truncated, err
			}
		}
		if s.alreadySent(event.ID) {
			continue
		}
		s.recordEvent(event.ID)
		s.start()
		if _, err := s.w.Write(event.Data); err != nil {
			return callerDisconnected, err
		}
		if !reader.Buffered() {
			s.flush()
		}
	}
}

// alreadySent reports whether the event was sent to the caller before.
func (s *stream) alreadySent(id string) bool {
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

// recordEvent updates the position, counters and latencies for an event that is
// about to be sent to the caller.
func (s *stream) recordEvent(id string) {
	now := s.Clock()
	s.endWait()
	if s.events == 0 {
		s.Metrics.firstEvent(now.Sub(s.received))
	} else if gap := now.Sub(s.lastAt); gap > s.longestGap {
		s.longestGap = gap
	}
	s.lastAt = now
	s.events++
	if s.events == provenEvents {
		s.survived()
		s.Prompts.RecordSuccess(s.parts, now)
	}
	s.run.Event()
	if id != "" {
		s.lastID = id
	}
}

// start sends the status and header of the first upstream's answer, once.
func (s *stream) start() {
	if s.started {
		return
	}
	s.started = true
	copyHeader(s.w.Header(), headers.EndToEnd(s.head.Header))
	s.w.WriteHeader(s.head.Status)
}

// flush sends what was written, if anything was.
func (s *stream) flush() {
	if !s.started {
		return
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}

// recordComplete logs and counts a stream that was passed on completely.
func (s *stream) recordComplete(v directory.View) {
	s.Directory.RecordOutcome(v.ID, false, s.Clock())
	if s.events < provenEvents {
		s.Prompts.RecordSuccess(s.parts, s.Clock())
	}
	elapsed := s.Clock().Sub(s.received)
	s.Metrics.answered(s.route.Kind, s.head.Status, elapsed)
	if s.route.MaxEventGap > 0 && s.events > 1 {
		s.Metrics.longestGap(s.predicted, s.moves > 0, s.longestGap)
	}
	s.Log.Emit(eventlog.CallAnswered).Str("request_id", s.id).Str("route", s.route.Name).Str("upstream", v.ID).
		Int("status", s.head.Status).Int("sends", s.sends).Int("events", s.events).Int("moves", s.moves).
		Dur("longest_gap", s.longestGap).Str("predicted", string(s.predicted)).Dur("took", elapsed).Int64("table_version", s.table.Version()).Send()
}

// endCancelled ends a request whose context was cancelled. If part of the stream
// was sent, it aborts the handler, so that the truncated stream does not look
// complete. It returns only if a refusal was sent instead.
func (s *stream) endCancelled(v directory.View) {
	if s.started {
		s.recordAbandoned(v)
		panic(http.ErrAbortHandler)
	}
	s.call.endCancelled(v)
}

// giveUp ends a request that no upstream completed.
func (s *stream) giveUp(ctx context.Context) {
	if s.started {
		s.abort(directory.View{}, context.Cause(ctx))
	}
	s.call.giveUp(ctx, nil)
}

// abort aborts the handler, which closes the caller's connection, so that the
// truncated answer does not look complete. It does not return.
func (s *stream) abort(v directory.View, err error) {
	s.Metrics.broken()
	s.Log.Emit(eventlog.CallBroken).Str("request_id", s.id).Str("route", s.route.Name).Str("upstream", v.ID).
		Int("events", s.events).Int("moves", s.moves).Dur("after", s.Clock().Sub(s.received)).Err(err).Send()
	panic(http.ErrAbortHandler)
}
