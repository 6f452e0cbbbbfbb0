package sidecar

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/ledger"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/generation"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// readBatch is the largest number of tokens written at once.
	readBatch = 256
	// joinInterval is the time between two looks for the job of an attempt that
	// was accepted a moment ago.
	joinInterval = 5 * time.Millisecond
)

// follow answers an attempt that shares the executor's fate.
func (s *Sidecar) follow(w http.ResponseWriter, r *http.Request, a *attempt.Attempt, executor string) {
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

// awaitJob returns the executor's job. The executor is in the ledger shortly
// before its job can be found; the result is false once it is settled or the
// requester has gone.
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

// serveJob answers the attempt, the job's own or one that joined it, with the
// frames of the job to its end.
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
// whether the requester is still there.
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
		case <-f.beat.C:
			if f.heartbeat() != nil {
				return false
			}
		}
	}
}

func (s *Sidecar) serveStarted(f *frameWriter, r *http.Request, j *job, executor string, replayed bool, settled <-chan struct{}) {
	if j.run != nil {
		if f.accepted(j.run.log.ID()) == nil {
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
		_ = f.failed(s.located(*j.failure.Load(), j.attempt))
	case j.refusal.Load() != nil:
		_ = s.writeNotRun(f, j)
	default:
		_ = s.writeSettled(f, r, s.ledger.Query(executor), replayed)
	}
}

// awaitSettled sends heartbeats until the attempt is settled.
func awaitSettled(f *frameWriter, r *http.Request, settled <-chan struct{}) bool {
	for {
		select {
		case <-settled:
			return true
		case <-r.Context().Done():
			return false
		case <-f.beat.C:
			if f.heartbeat() != nil {
				return false
			}
		}
	}
}

func (s *Sidecar) located(p problem.Problem, a *attempt.Attempt) problem.Problem {
	return p.WithAt("upstream", s.settings.Instance).WithRequest(a.RequestID)
}

// writeNotRun ends the stream of a job that was revoked.
func (s *Sidecar) writeNotRun(f *frameWriter, j *job) error {
	refusal := problem.NotRun("revoked", "the attempt was revoked before it was started", retryElsewhere)
	if reason := j.refusal.Load(); reason != nil {
		refusal = *reason
	}
	return f.failed(refusal.WithAt("queue", s.settings.Instance).WithRequest(j.attempt.RequestID))
}

// writeSettled answers from the ledger.
func (s *Sidecar) writeSettled(f *frameWriter, r *http.Request, view ledger.View, replayed bool) error {
	switch {
	case view.State == attempt.StateRevoked:
		return f.failed(problem.NotRun("revoked", "the attempt was revoked before it was started", retryElsewhere))
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

func (s *Sidecar) replayGeneration(f *frameWriter, r *http.Request, view ledger.View) error {
	g, ok := s.runs.get(view.Result.GenerationID)
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

// serveGeneration writes the tokens of a job, or the engine's refusal.
func (s *Sidecar) serveGeneration(f *frameWriter, r *http.Request, j *job) {
	end := s.serveTokens(f, r, j.run, 0)
	if end == nil {
		return
	}
	if answer := j.answer.Load(); answer != nil {
		_ = f.response(answer, false)
		return
	}
	_ = f.failed(end.WithRequest(j.attempt.RequestID))
}

// resumeTokens writes the tokens after the number.
func (s *Sidecar) resumeTokens(w http.ResponseWriter, r *http.Request, g *run, after uint64) {
	f := newFrameWriter(w, g.log.ID(), s.reporter(r))
	defer f.close()
	if f.heartbeat() != nil {
		return
	}
	if failure := s.serveTokens(f, r, g, after); failure != nil {
		_ = f.failed(*failure)
	}
}

// serveTokens writes the tokens after the number until the end, and returns the
// failure that the stream must end with, nil if there is nothing left to write.
func (s *Sidecar) serveTokens(f *frameWriter, r *http.Request, g *run, after uint64) *problem.Problem {
	g.log.Attach(after)
	defer func() { g.log.Detach(s.clock()) }()
	for {
		changed := g.log.Changed()
		tokens, err := g.log.Read(after, readBatch)
		if errors.Is(err, generation.ErrForgotten) {
			forgotten := problem.Incomplete("tokens_forgotten", "the tokens after the position are no longer kept")
			return &forgotten
		}
		if len(tokens) > 0 {
			if f.tokens(after, tokens) != nil || f.heartbeatIfDue() != nil {
				return nil
			}
			after += uint64(len(tokens))
			continue
		}
		if done, failure := s.endOf(f, g, after); done {
			return failure
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil
		case <-f.beat.C:
			if f.heartbeat() != nil {
				return nil
			}
		}
	}
}

// endOf ends the stream of a reader that has all tokens of a closed log, and
// reports whether the reader is done.
func (s *Sidecar) endOf(f *frameWriter, g *run, after uint64) (done bool, failure *problem.Problem) {
	state, last, reason := g.log.State()
	switch {
	case state == generation.StateOpen || after < last:
		return false, nil
	case state == generation.StateFailed:
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
