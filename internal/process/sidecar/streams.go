package sidecar

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/tokenlog"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// readBatch is the largest number of tokens that are written at once.
	readBatch = 256
	// joinInterval is the time between two lookups of the job of an attempt that
	// was just accepted.
	joinInterval = 5 * time.Millisecond
)

// serveJoined responds to an attempt that joined the executor, with the
// executor's frames or its stored result.
func (s *Sidecar) serveJoined(w http.ResponseWriter, r *http.Request, a *attempt.Attempt, executor string) {
	j, ok := s.awaitJob(r, executor)
	if !ok {
		f := newFrameWriter(w, a.ID, s.reporter(r))
		defer f.close()
		_ = s.writeSettled(f, r, s.ledger.Query(executor), true)
		return
	}
	defer j.enter(r.Context())()
	s.serveJob(w, r, j, a.ID)
}

// awaitJob returns the executor's job. It waits if the job cannot be found yet,
// because the executor is recorded in the ledger before its job is added. The
// result is false if the executor is settled or the requester disconnected.
func (s *Sidecar) awaitJob(r *http.Request, executor string) (*job, bool) {
	for {
		j, ok := s.jobs.get(executor)
		state := s.ledger.Query(executor).State
		if ok || (state != attempt.StateQueued && state != attempt.StateRunning) {
			return j, ok
		}
		if !pause.For(r.Context(), joinInterval) {
			return nil, false
		}
	}
}

// serveJob responds to an attempt with the frames of the job until its end. The
// attempt with the identifier is the job's own or one that joined it.
func (s *Sidecar) serveJob(w http.ResponseWriter, r *http.Request, j *job, id string) {
	executor := j.attempt.ID
	replayed := id != executor
	f := newFrameWriter(w, id, s.reporter(r))
	defer f.close()
	if err := f.heartbeat(); err != nil {
		return
	}
	view := s.ledger.Query(executor)
	if view.Settled == nil || !s.awaitStart(f, r, j, view.Settled) {
		return
	}
	select {
	case <-j.started:
		s.serveStarted(f, r, j, executor, replayed, view.Settled)
	default:
		_ = s.writeNotRun(f, j)
	}
}

// awaitStart sends heartbeats until the job is started or settled, and reports
// whether the requester is still connected.
func (s *Sidecar) awaitStart(f *frameWriter, r *http.Request, j *job, settled <-chan struct{}) bool {
	for {
		select {
		case <-j.started:
			return true
		case <-settled:
			return true
		case <-r.Context().Done():
			s.signal()
			return false
		case <-f.ticker.C:
			if f.heartbeat() != nil {
				return false
			}
		}
	}
}

// serveStarted writes the frames of a job that was started.
func (s *Sidecar) serveStarted(f *frameWriter, r *http.Request, j *job, executor string, replayed bool, settled <-chan struct{}) {
	if j.generation != nil {
		if f.accepted(j.generation.log.ID()) == nil {
			s.serveGeneration(f, r, j)
		}
		return
	}
	if f.accepted("") != nil || !awaitSettled(f, r, settled) {
		return
	}
	switch {
	case j.answer.Load() != nil:
		_ = f.response(j.answer.Load(), replayed)
	case j.failure.Load() != nil:
		_ = f.failed(s.annotated(*j.failure.Load(), j.attempt))
	case j.refusal.Load() != nil:
		_ = s.writeNotRun(f, j)
	default:
		_ = s.writeSettled(f, r, s.ledger.Query(executor), replayed)
	}
}

// awaitSettled sends heartbeats until the attempt is settled, and reports
// whether the requester is still connected.
func awaitSettled(f *frameWriter, r *http.Request, settled <-chan struct{}) bool {
	for {
		select {
		case <-settled:
			return true
		case <-r.Context().Done():
			return false
		case <-f.ticker.C:
			if f.heartbeat() != nil {
				return false
			}
		}
	}
}

// annotated returns the problem with the step, the instance and the request.
func (s *Sidecar) annotated(p problem.Problem, a *attempt.Attempt) problem.Problem {
	return p.WithLocation("upstream", s.settings.Instance).WithRequest(a.RequestID)
}

// writeNotRun ends the stream of a job that was revoked.
func (s *Sidecar) writeNotRun(f *frameWriter, j *job) error {
	refusal := problem.NotRun("revoked", "the attempt was revoked before it was started", retryAfter)
	if reason := j.refusal.Load(); reason != nil {
		refusal = *reason
	}
	return f.failed(refusal.WithLocation("queue", s.settings.Instance).WithRequest(j.attempt.RequestID))
}

// writeSettled writes the end of the stream of an attempt that the ledger has
// settled.
func (s *Sidecar) writeSettled(f *frameWriter, r *http.Request, view ledger.View, replayed bool) error {
	switch {
	case view.State == attempt.StateRevoked:
		return f.failed(problem.NotRun("revoked", "the attempt was revoked before it was started", retryAfter))
	case view.State != attempt.StateDone:
		return f.failed(problem.Unknown("lost", "the upstream failed while it ran the request"))
	case view.Result.GenerationID != "":
		return s.replayGeneration(f, r, view)
	case view.Result.Dropped:
		return f.failed(problem.Incomplete("answer_not_kept", "the request was run, but its answer is no longer kept"))
	}
	response := &attempt.Response{Status: view.Result.Status, Header: view.Result.Header, Body: view.Result.Body}
	return f.response(response, replayed)
}

// replayGeneration writes all tokens of a generation that has ended.
func (s *Sidecar) replayGeneration(f *frameWriter, r *http.Request, view ledger.View) error {
	g, ok := s.generations.get(view.Result.GenerationID)
	if !ok {
		return f.failed(problem.Incomplete("tokens_forgotten", "the generation ended and its tokens are no longer kept"))
	}
	if err := f.accepted(view.Result.GenerationID); err != nil {
		return err
	}
	if failure := s.serveTokens(f, r, g, 0); failure != nil {
		return f.failed(*failure)
	}
	return nil
}

// serveGeneration writes the tokens of the job's generation, or the engine's
// refusal.
func (s *Sidecar) serveGeneration(f *frameWriter, r *http.Request, j *job) {
	end := s.serveTokens(f, r, j.generation, 0)
	if end == nil {
		return
	}
	if answer := j.answer.Load(); answer != nil {
		_ = f.response(answer, false)
		return
	}
	_ = f.failed(end.WithRequest(j.attempt.RequestID))
}

// resumeTokens responds with the tokens that follow the token with the number
// after.
func (s *Sidecar) resumeTokens(w http.ResponseWriter, r *http.Request, g *generationRun, after uint64) {
	f := newFrameWriter(w, g.log.ID(), s.reporter(r))
	defer f.close()
	if f.heartbeat() != nil {
		return
	}
	if failure := s.serveTokens(f, r, g, after); failure != nil {
		_ = f.failed(*failure)
	}
}

// serveTokens writes the tokens that follow the token with the number after,
// until the generation ends. It returns the failure with which the caller must
// end the stream, nil if the stream has ended or the requester has
// disconnected.
func (s *Sidecar) serveTokens(f *frameWriter, r *http.Request, g *generationRun, after uint64) *problem.Problem {
	g.log.Attach(after)
	defer func() { g.log.Detach(s.clock()) }()
	for {
		changed := g.log.Changed()
		tokens, err := g.log.Read(after, readBatch)
		if errors.Is(err, tokenlog.ErrDropped) {
			dropped := problem.Incomplete("tokens_forgotten", "the tokens after the position are no longer kept")
			return &dropped
		}
		if len(tokens) > 0 {
			if f.tokens(after, tokens) != nil || f.heartbeatIfDue() != nil {
				return nil
			}
			after += uint64(len(tokens))
			continue
		}
		if done, failure := s.finishStream(f, g, after); done {
			return failure
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil
		case <-f.ticker.C:
			if f.heartbeat() != nil {
				return nil
			}
		}
	}
}

// finishStream ends the stream of a reader that has received all tokens of a
// closed log. It reports whether the reader is done, and the failure with which
// its stream must end.
func (s *Sidecar) finishStream(f *frameWriter, g *generationRun, after uint64) (done bool, failure *problem.Problem) {
	state, last, reason := g.log.State()
	switch {
	case state == tokenlog.StateOpen || after < last:
		return false, nil
	case state == tokenlog.StateFailed:
		return true, &reason
	case after > last:
		ahead := problem.Incomplete("position_ahead", "the position is after the last token")
		return true, &ahead
	}
	if f.end(last) == nil {
		g.delivered.Store(true)
	}
	return true, nil
}
