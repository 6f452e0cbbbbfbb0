package sidecar

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/serviceclient"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// execute sends a started job to the upstream and records the outcome. It runs
// to its end even if the requester disconnects.
func (s *Sidecar) execute(sched *scheduler, j *job) {
	ctx, span := s.telemetry.Tracer().Start(j.trace, "upstream")
	defer span.End()
	completed := false
	if j.attempt.Kind == attempt.KindGeneration {
		completed = s.executeGeneration(ctx, sched, j)
	} else {
		close(j.started)
		completed = s.executeCall(ctx, j)
	}
	sched.controller.Finish(j.attempt.ID, completed, s.clock())
	s.jobs.remove(j.attempt.ID)
	s.signal()
}

// executeCall sends a call to the plain service and settles the attempt. It
// reports whether a complete answer was received.
func (s *Sidecar) executeCall(ctx context.Context, j *job) bool {
	a := j.attempt
	answer, err := s.upstream.Call(ctx, s.upstreamRequest(ctx, a))
	now := s.clock()
	switch {
	case err == nil:
		j.answer.Store(&attempt.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body})
		s.ledger.Finish(a.ID, storedResult(a, answer), now)
		return true
	case errors.Is(err, serviceclient.ErrNotSent):
		refusal := problem.NotRun("upstream_unreachable", err.Error(), retryAfter)
		j.refusal.Store(&refusal)
		s.ledger.RevokeUnsent(a.ID, now)
	case errors.Is(err, serviceclient.ErrTooLarge):
		failure := problem.Incomplete("answer_too_large", err.Error())
		j.failure.Store(&failure)
		s.ledger.Finish(a.ID, ledger.Result{Dropped: true}, now)
	default:
		failure := problem.Unknown("upstream_failed", err.Error())
		j.failure.Store(&failure)
		s.ledger.MarkLost(a.ID, now)
		s.log.Emit(eventlog.CallOutcomeUnknown).Str("request_id", a.RequestID).Str("account", a.Account).Err(err).Send()
	}
	return false
}

// upstreamRequest returns the attempt's request with the tracing headers and
// with the idempotency key, for upstreams that deduplicate by it.
func (s *Sidecar) upstreamRequest(ctx context.Context, a *attempt.Attempt) *attempt.Request {
	request := a.Request
	request.Header = request.Header.Clone()
	if request.Header == nil {
		request.Header = make(map[string][]string)
	}
	if a.OrderKey != "" {
		request.Header.Set("Idempotency-Key", a.OrderKey)
	}
	s.telemetry.Inject(ctx, request.Header)
	return &request
}

// storedResult returns the result that the ledger stores for an answer. Answers
// to repeatable requests are not stored, to leave the room to orders.
func storedResult(a *attempt.Attempt, answer serviceclient.Answer) ledger.Result {
	if a.Repeatable {
		return ledger.Result{Dropped: true}
	}
	return ledger.Result{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}
