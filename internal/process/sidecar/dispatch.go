package sidecar

import (
	"context"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	dispatchInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two looks at the queue above which the
	// process counts as having been paused.
	pauseThreshold = time.Second
	// settleTime is the wait after a pause until the listener has noticed the
	// connections that were closed meanwhile.
	settleTime = 200 * time.Millisecond
)

// dispatchLoop hands queued work to the upstream until the context ends.
func (s *Sidecar) dispatchLoop(ctx context.Context) {
	last := s.clock()
	for s.awaitDispatch(ctx) {
		now := s.clock()
		if now.Sub(last) > pauseThreshold {
			s.log.Emit(eventlog.SidecarResumed).Dur("pause", now.Sub(last)).Send()
			if !pause.For(ctx, settleTime) {
				return
			}
		}
		s.dispatch(s.clock())
		last = s.clock()
	}
}

func (s *Sidecar) awaitDispatch(ctx context.Context) bool {
	timer := time.NewTimer(dispatchInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.wake:
	case <-timer.C:
	}
	return true
}

// dispatch revokes the queued work that must not start any more, and starts as
// much of the rest as admission allows.
func (s *Sidecar) dispatch(now time.Time) {
	st := s.stage.Load()
	if st == nil {
		return
	}
	if refusal, refused := s.unavailable(); refused {
		s.revokeAll(st, refusal, now)
		return
	}
	s.revokeExpired(st, now)
	s.revokeAbandoned(st, now)
	for s.startNext(st, now) {
	}
}

// queued returns the jobs that wait.
func (s *Sidecar) queued() []*job {
	var waiting []*job
	for _, j := range s.jobs.all() {
		if s.ledger.Query(j.attempt.ID).State == attempt.StateQueued {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

// revokeAll hands all queued work back as not run.
func (s *Sidecar) revokeAll(st *stage, refusal problem.Problem, now time.Time) {
	for _, j := range s.queued() {
		s.revoke(st, j, refusal, now)
	}
}

func (s *Sidecar) revokeExpired(st *stage, now time.Time) {
	expired := problem.NotRun("admission_timeout", "the attempt was not admitted in time", retryElsewhere)
	for _, w := range st.queue.Expired(now) {
		s.revokeWork(st, w, expired, now)
	}
}

func (s *Sidecar) revokeAbandoned(st *stage, now time.Time) {
	for _, j := range s.queued() {
		if j.abandoned() {
			s.revoke(st, j, problem.NotRun("abandoned", "the requester disconnected", retryElsewhere), now)
		}
	}
}

func (s *Sidecar) revokeWork(st *stage, w work.Work, refusal problem.Problem, now time.Time) {
	if j, ok := s.jobs.get(w.ID); ok {
		s.revoke(st, j, refusal, now)
		return
	}
	st.queue.Discard(w.ID)
}

// revoke takes a job out of the queue. The ledger decides whether it was in
// time.
func (s *Sidecar) revoke(st *stage, j *job, refusal problem.Problem, now time.Time) {
	j.refusal.Store(&refusal)
	st.queue.Discard(j.attempt.ID)
	view := s.ledger.Revoke(s.revocationOf(j.attempt), now)
	if view.State == attempt.StateRevoked {
		s.decided(j.attempt, "queue", "revoked", refusal.Detail)
		s.jobs.remove(j.attempt.ID)
	}
}

// startNext starts the next work in order, if admission allows, and reports
// whether there may be more.
func (s *Sidecar) startNext(st *stage, now time.Time) bool {
	w, ok := st.queue.Select(func(w work.Work) bool { return st.controller.Admit(w, now) })
	if !ok {
		return false
	}
	j, known := s.jobs.get(w.ID)
	if !known || !s.ledger.Start(w.ID) {
		st.controller.Finish(w.ID, false, now)
		s.jobs.remove(w.ID)
		return true
	}
	s.decided(j.attempt, "queue", "started", "")
	go s.execute(st, j)
	return true
}
