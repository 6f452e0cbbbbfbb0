package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/link"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 8
	// retryDelay is the delay before instances that were already tried are tried
	// again.
	retryDelay = 500 * time.Millisecond
	// noInstanceRetryDelay is the Retry-After delay for a request for which no
	// instance was usable.
	noInstanceRetryDelay = 2 * time.Second
	// kindUnreachable is the kind of the problem for a failure to connect.
	kindUnreachable = "unreachable"
)

// result is the result of one attempt.
type result struct {
	// done is true if the caller has received the answer or has disconnected.
	done bool
	// retry is true if the request may be sent to another instance.
	retry   bool
	problem problem.Problem
}

var answered = result{done: true}

func final(p problem.Problem) result { return result{problem: p} }

func retryable(p problem.Problem) result { return result{retry: true, problem: p} }

// retrier selects instances for the attempts of one request and decides whether
// to retry. A retry requires that the request may run more than once, or that the
// previous attempt is known not to have run.
type retrier struct {
	session  *session
	service  *service.Service
	prefix   uint64
	excluded []string
	attempts int
	// lastProblem is the problem of the last attempt. uncertainProblem is that of
	// the last attempt that may have run the request, nil if there is none.
	lastProblem      problem.Problem
	uncertainProblem *problem.Problem
}

func (s *session) newRetrier(svc *service.Service, prefix uint64) *retrier {
	s.startAdmissionWait(svc.AdmissionTimeout())
	return &retrier{
		session: s, service: svc, prefix: prefix,
		lastProblem: problem.NotRun("no_instance", "no instance of the service is usable", noInstanceRetryDelay),
	}
}

// run sends the request to instances until it is answered. Otherwise it returns
// the problem for the caller and false.
func (t *retrier) run(try func(instance.Instance) result) (problem.Problem, bool) {
	for {
		chosen, ok := t.chooseInstance()
		if !ok {
			return t.finalProblem(), false
		}
		r := try(chosen)
		if r.done {
			return problem.Problem{}, true
		}
		t.recordProblem(r.problem)
		t.excluded = append(t.excluded, chosen.Name)
		t.session.recordDecision("attempt", chosen.Name, choiceName(r), r.problem.Type+": "+r.problem.Detail)
		if !r.retry || !t.takeRetry() {
			return t.finalProblem(), false
		}
	}
}

func (t *retrier) recordProblem(p problem.Problem) {
	t.lastProblem = p
	if mayHaveRun(p) {
		t.uncertainProblem = &p
	}
}

func mayHaveRun(p problem.Problem) bool {
	return p.Outcome == problem.OutcomeUnknown || p.Outcome == problem.OutcomeIncomplete
}

// finalProblem returns the problem for the caller. If an attempt may have run the
// request, a later refusal must not be reported as "not run".
func (t *retrier) finalProblem() problem.Problem {
	if t.uncertainProblem != nil && !mayHaveRun(t.lastProblem) {
		return *t.uncertainProblem
	}
	return t.lastProblem
}

func choiceName(r result) string {
	if r.retry {
		return "retry at another instance"
	}
	return "give up"
}

// chooseInstance returns the instance for the next attempt. If all have been
// tried, it waits for retryDelay and starts over, unless the instances are
// overloaded or the admission deadline would pass.
func (t *retrier) chooseInstance() (instance.Instance, bool) {
	g := t.session.gateway
	for !t.session.callerGone() {
		now := g.clock()
		chosen, ok := g.router.Choose(g.members.Usable(t.service.Name, now), t.prefix, t.excluded, now)
		if ok {
			return chosen, true
		}
		if overloaded(t.lastProblem) || now.Add(retryDelay).After(t.session.deadline) {
			return instance.Instance{}, false
		}
		t.excluded = nil
		pause.For(t.session.ctx, retryDelay)
	}
	return instance.Instance{}, false
}

// takeRetry takes a retry from the retry budget and reports whether one is
// allowed.
func (t *retrier) takeRetry() bool {
	t.attempts++
	if t.attempts >= maxAttempts || t.session.callerGone() {
		return false
	}
	g := t.session.gateway
	if t.session.configuration.Fleet.Policy.RetryBudget && !g.budget.Spend() {
		t.session.recordDecision("retry_budget", "", "no retry", "the retry budget is exhausted")
		return false
	}
	g.metrics.retries.Inc(1)
	return true
}

func kindOf(p problem.Problem) string { return p.Type[strings.LastIndex(p.Type, ":")+1:] }

// overloaded reports whether the problem states that the instance's queue is full
// or too slow, so that a retry would add to the overload.
func overloaded(p problem.Problem) bool {
	switch kindOf(p) {
	case "queue_full", "queue_too_long", "admission_timeout", "ledger_full":
		return true
	}
	return false
}

// handleOfferError returns the result for a failed offer or lost link, for a
// request that may run more than once.
func (s *session) handleOfferError(i instance.Instance, err error) result {
	g := s.gateway
	var refusal problem.Problem
	switch {
	case s.callerGone():
		return answered
	case errors.As(err, &refusal):
		return s.handleRefusal(i, refusal)
	case errors.Is(err, link.ErrNotHanded):
		g.members.ObserveFailure(i.Name, g.clock())
		return retryable(problem.NotRun(kindUnreachable, err.Error(), noInstanceRetryDelay).WithAt("offer", i.Name))
	}
	g.members.ObserveFailure(i.Name, g.clock())
	return retryable(problem.Incomplete("link_lost", err.Error()).WithAt("offer", i.Name))
}

// handleRefusal returns the result for a sidecar's refusal of a request that may
// run more than once.
func (s *session) handleRefusal(i instance.Instance, p problem.Problem) result {
	s.gateway.observeRefusal(i, p)
	if p.Outcome == problem.OutcomeRejected && p.Status != http.StatusMisdirectedRequest {
		return final(p)
	}
	return retryable(p)
}

// observeRefusal marks the instance as leaving if it refused a request for that
// reason.
func (g *Gateway) observeRefusal(i instance.Instance, p problem.Problem) {
	if kindOf(p) != load.PhaseLeaving {
		return
	}
	report, known := g.router.LastReport(i.Name)
	if !known {
		report = load.Report{Instance: i.Name, DataCentre: i.DataCentre}
	}
	report.Phase = load.PhaseLeaving
	now := g.clock()
	g.router.Observe(report, now)
	g.members.ObserveReport(report, now)
}
