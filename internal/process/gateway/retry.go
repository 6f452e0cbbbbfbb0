package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/sidecarclient"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 8
	// maxLost is the number of instances that may lose a request, for a request that
	// may run more than once. A request that ends its instances must not end all.
	maxLost = 3
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

// finished is the result if the caller has received the answer or has
// disconnected.
var finished = result{done: true}

// final returns a result with a problem that must not be retried.
func final(p problem.Problem) result { return result{problem: p} }

// retryable returns a result with a problem that may be retried at another
// instance.
func retryable(p problem.Problem) result { return result{retry: true, problem: p} }

// retrier selects instances for the attempts of one request and decides whether
// to retry. A retry requires that the request may run more than once, or that the
// previous attempt is known not to have run.
type retrier struct {
	session  *session
	service  *service.Service
	prefix   uint64
	excluded []string
	// maxLost bounds the lost attempts, 0 for no bound.
	maxLost  int
	attempts int
	// lost counts the attempts that may have run and returned no answer.
	lost int
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

// withMaxLost bounds the number of instances that may lose the request.
func (rt *retrier) withMaxLost(n int) *retrier {
	rt.maxLost = n
	return rt
}

// run sends the request to instances until it is answered. Otherwise it returns
// the problem for the caller and false.
func (rt *retrier) run(try func(instance.Instance) result) (problem.Problem, bool) {
	for {
		chosen, ok := rt.chooseInstance()
		if !ok {
			return rt.finalProblem(), false
		}
		r := try(chosen)
		if r.done {
			return problem.Problem{}, true
		}
		rt.recordProblem(r.problem)
		rt.excluded = append(rt.excluded, chosen.Name)
		rt.session.recordDecision("attempt", chosen.Name, choiceName(r), r.problem.Type+": "+r.problem.Detail)
		if !r.retry || rt.isLostTooOften() || !rt.spendRetry() {
			return rt.finalProblem(), false
		}
	}
}

func (rt *retrier) recordProblem(p problem.Problem) {
	rt.lastProblem = p
	if mayHaveRun(p) {
		rt.lost++
		rt.uncertainProblem = &p
	}
}

// isLostTooOften reports whether the request must not be sent to another instance
// because too many have lost it.
func (rt *retrier) isLostTooOften() bool {
	if rt.maxLost == 0 || rt.lost < rt.maxLost {
		return false
	}
	rt.session.recordDecision("retry", "", "no retry", "lost at "+strconv.Itoa(rt.lost)+" instances")
	return true
}

func mayHaveRun(p problem.Problem) bool {
	return p.Outcome == problem.OutcomeUnknown || p.Outcome == problem.OutcomeIncomplete
}

// finalProblem returns the problem for the caller. If an attempt may have run the
// request, a later refusal must not be reported as "not run".
func (rt *retrier) finalProblem() problem.Problem {
	if rt.uncertainProblem != nil && !mayHaveRun(rt.lastProblem) {
		return *rt.uncertainProblem
	}
	return rt.lastProblem
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
func (rt *retrier) chooseInstance() (instance.Instance, bool) {
	g := rt.session.gateway
	for !rt.session.callerDisconnected() {
		now := g.clock()
		chosen, ok := g.router.Choose(g.members.Usable(rt.service.Name, now), rt.prefix, rt.excluded, now)
		if ok {
			return chosen, true
		}
		if overloaded(rt.lastProblem) || now.Add(retryDelay).After(rt.session.deadline) {
			return instance.Instance{}, false
		}
		rt.excluded = nil
		pause.For(rt.session.ctx, retryDelay)
	}
	return instance.Instance{}, false
}

// spendRetry reports whether another attempt is allowed, and takes it from the
// retry budget.
func (rt *retrier) spendRetry() bool {
	rt.attempts++
	if rt.attempts >= maxAttempts || rt.session.callerDisconnected() {
		return false
	}
	g := rt.session.gateway
	if rt.session.configuration.Fleet.Policy.RetryBudget && !g.budget.TryRetry() {
		rt.session.recordDecision("retry_budget", "", "no retry", "the retry budget is exhausted")
		return false
	}
	g.metrics.retries.Inc(1)
	return true
}

func kindOf(p problem.Problem) string { return p.Type[strings.LastIndex(p.Type, ":")+1:] }

// overloaded reports whether the problem states that the instance's queue or order
// ledger is full, or that its queue is too slow. A retry would add to the overload.
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
	case s.callerDisconnected():
		return finished
	case errors.As(err, &refusal):
		return s.handleRefusal(i, refusal)
	case errors.Is(err, sidecarclient.ErrNotSent):
		g.members.ObserveFailure(i.Name, g.clock())
		return retryable(problem.NotRun(kindUnreachable, err.Error(), noInstanceRetryDelay).WithLocation("offer", i.Name))
	}
	g.members.ObserveFailure(i.Name, g.clock())
	return retryable(problem.Incomplete("link_lost", err.Error()).WithLocation("offer", i.Name))
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
	g.router.ObserveReport(report, now)
	g.members.ObserveReport(report, now)
}
