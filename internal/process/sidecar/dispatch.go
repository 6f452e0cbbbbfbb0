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
	// pauseThreshold is the longest time between two checks of the queue before
	// the process counts as having been paused.
	pauseThreshold = time.Second
	// disconnectDelay is the wait after a pause until the listener has detected
	// the connections that were closed meanwhile.
	disconnectDelay = 200 * time.Millisecond
)

// dispatchLoop sends queued work to the upstream until the context ends.
func (s *Sidecar) dispatchLoop(ctx context.Context) {
	last := s.clock()
	for s.awaitDispatch(ctx) {
		now := s.clock()
		if now.Sub(last) > pauseThreshold {
			s.log.Emit(eventlog.SidecarResumed).Dur("pause", now.Sub(last)).Send()
			if !pause.For(ctx, disconnectDelay) {
				return
			}
		}
		s.dispatch(s.clock())
		last = s.clock()
	}
}

// awaitDispatch waits until the queue must be checked. It returns false once the
// context has ended.
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

// dispatch revokes the queued work that must not be started any more, and starts
// as much of the remaining work as admission allows.
func (s *Sidecar) dispatch(now time.Time) {
	sched := s.scheduler.Load()
	if sched == nil {
		return
	}
	if refusal, refused := s.unavailable(); refused {
		s.revokeAll(sched, refusal, now)
		return
	}
	s.revokeExpired(sched, now)
	s.revokeAbandoned(sched, now)
	for s.startNext(sched, now) {
	}
}

// queuedJobs returns the jobs that have not been started.
func (s *Sidecar) queuedJobs() []*job {
	var queued []*job
	for _, j := range s.jobs.all() {
		if s.ledger.Query(j.attempt.ID).State == attempt.StateQueued {
			queued = append(queued, j)
		}
	}
	return queued
}

// revokeAll revokes all queued work, which is reported as not run.
func (s *Sidecar) revokeAll(sched *scheduler, refusal problem.Problem, now time.Time) {
	for _, j := range s.queuedJobs() {
		s.revoke(sched, j, refusal, now)
	}
}

func (s *Sidecar) revokeExpired(sched *scheduler, now time.Time) {
	expired := problem.NotRun("admission_timeout", "the attempt was not admitted in time", retryAfter)
	for _, w := range sched.queue.Expired(now) {
		s.revokeWork(sched, w, expired, now)
	}
}

func (s *Sidecar) revokeAbandoned(sched *scheduler, now time.Time) {
	for _, j := range s.queuedJobs() {
		if j.abandoned() {
			s.revoke(sched, j, problem.NotRun("abandoned", "the requester disconnected", retryAfter), now)
		}
	}
}

func (s *Sidecar) revokeWork(sched *scheduler, w work.Work, refusal problem.Problem, now time.Time) {
	if j, ok := s.jobs.get(w.ID); ok {
		s.revoke(sched, j, refusal, now)
		return
	}
	sched.queue.Discard(w.ID)
}

// revoke removes a job from the queue and revokes its attempt, unless the ledger
// shows that the attempt was started before.
func (s *Sidecar) revoke(sched *scheduler, j *job, refusal problem.Problem, now time.Time) {
	j.refusal.Store(&refusal)
	sched.queue.Discard(j.attempt.ID)
	view := s.ledger.Revoke(s.newRevocation(j.attempt), now)
	if view.State == attempt.StateRevoked {
		s.recordDecision(j.attempt, "queue", "revoked", refusal.Detail)
		s.jobs.remove(j.attempt.ID)
	}
}

// startNext starts the next queued work that admission allows, and reports
// whether there may be more.
func (s *Sidecar) startNext(sched *scheduler, now time.Time) bool {
	w, ok := sched.queue.Select(func(w work.Work) bool { return sched.controller.Admit(w, now) })
	if !ok {
		return false
	}
	j, known := s.jobs.get(w.ID)
	if !known || !s.ledger.Start(w.ID) {
		sched.controller.Finish(w.ID, false, now)
		s.jobs.remove(w.ID)
		return true
	}
	s.recordDecision(j.attempt, "queue", "started", "")
	go s.execute(sched, j)
	return true
}
