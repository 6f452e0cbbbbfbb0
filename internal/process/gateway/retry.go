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
	// maxTries bounds the attempts for one request.
	maxTries = 8
	// retryPause is the wait before all instances are tried again.
	retryPause = 500 * time.Millisecond
	// noInstanceDelay is the delay after which a caller may repeat a request for
	// which no instance was usable.
	noInstanceDelay = 2 * time.Second
	// kindUnreachable is the kind of a problem that states that no connection
	// was opened.
	kindUnreachable = "unreachable"
)

// result is how a try ended.
type result struct {
	// done is true if the caller has its answer or has gone.
	done bool
	// again is true if the request may be tried at another instance.
	again   bool
	problem problem.Problem
}

var answered = result{done: true}

func final(p problem.Problem) result { return result{problem: p} }

func again(p problem.Problem) result { return result{again: true, problem: p} }

// tries chooses instances for one request that may run more than once, or that
// is known not to have run.
type tries struct {
	session  *session
	service  *service.Service
	prefix   uint64
	excluded []string
	count    int
	// last is the problem of the last try, and uncertain that of the last one
	// after which the request may have run.
	last      problem.Problem
	uncertain *problem.Problem
}

func (s *session) newTries(svc *service.Service, prefix uint64) *tries {
	s.allow(svc.AdmissionTimeout())
	return &tries{
		session: s, service: svc, prefix: prefix,
		last: problem.NotRun("no_instance", "no instance of the service is usable", noInstanceDelay),
	}
}

// run tries instances until the request is answered, and returns the problem
// that the caller must receive otherwise.
func (t *tries) run(try func(instance.Instance) result) (problem.Problem, bool) {
	for {
		chosen, ok := t.next()
		if !ok {
			return t.verdict(), false
		}
		r := try(chosen)
		if r.done {
			return problem.Problem{}, true
		}
		t.note(r.problem)
		t.excluded = append(t.excluded, chosen.Name)
		t.session.decide("attempt", chosen.Name, choiceOf(r), r.problem.Type+": "+r.problem.Detail)
		if !r.again || !t.mayRetry() {
			return t.verdict(), false
		}
	}
}

func (t *tries) note(p problem.Problem) {
	t.last = p
	if mayHaveRun(p) {
		t.uncertain = &p
	}
}

func mayHaveRun(p problem.Problem) bool {
	return p.Outcome == problem.OutcomeUnknown || p.Outcome == problem.OutcomeIncomplete
}

// verdict returns the problem for the caller. After a try that may have run the
// request, a later refusal does not mean that it was not run.
func (t *tries) verdict() problem.Problem {
	if t.uncertain != nil && !mayHaveRun(t.last) {
		return *t.uncertain
	}
	return t.last
}

func choiceOf(r result) string {
	if r.again {
		return "retry elsewhere"
	}
	return "give up"
}

// next returns the next instance. If all have been tried, it waits and begins
// again unless the instances are overloaded.
func (t *tries) next() (instance.Instance, bool) {
	g := t.session.gateway
	for !t.session.gone() {
		now := g.clock()
		chosen, ok := g.router.Choose(g.members.Usable(t.service.Name, now), t.prefix, t.excluded, now)
		if ok {
			return chosen, true
		}
		if overloaded(t.last) || now.Add(retryPause).After(t.session.deadline) {
			return instance.Instance{}, false
		}
		t.excluded = nil
		pause.For(t.session.ctx, retryPause)
	}
	return instance.Instance{}, false
}

// mayRetry takes a retry from the budget.
func (t *tries) mayRetry() bool {
	t.count++
	if t.count >= maxTries || t.session.gone() {
		return false
	}
	g := t.session.gateway
	if t.session.configuration.Fleet.Policy.RetryBudget && !g.budget.Spend() {
		t.session.decide("retry_budget", "", "no retry", "the retry budget is used up")
		return false
	}
	g.metrics.retries.Inc(1)
	return true
}

func kindOf(p problem.Problem) string { return p.Type[strings.LastIndex(p.Type, ":")+1:] }

// overloaded reports whether waiting instances would receive still more work by
// a retry.
func overloaded(p problem.Problem) bool {
	switch kindOf(p) {
	case "queue_full", "queue_too_long", "admission_timeout", "ledger_full":
		return true
	}
	return false
}

// offerFailed judges an offer to the instance that brought no stream, for a
// request that may run again.
func (s *session) offerFailed(i instance.Instance, err error) result {
	g := s.gateway
	var refusal problem.Problem
	switch {
	case s.gone():
		return answered
	case errors.As(err, &refusal):
		return s.refused(i, refusal)
	case errors.Is(err, link.ErrNotHanded):
		g.members.ObserveFailure(i.Name, g.clock())
		return again(problem.NotRun(kindUnreachable, err.Error(), noInstanceDelay).WithAt("offer", i.Name))
	}
	g.members.ObserveFailure(i.Name, g.clock())
	return again(problem.Incomplete("link_lost", err.Error()).WithAt("offer", i.Name))
}

// refused judges a sidecar's refusal of a request that may run again.
func (s *session) refused(i instance.Instance, p problem.Problem) result {
	s.gateway.observeRefusal(i, p)
	if p.Outcome == problem.OutcomeRejected && p.Status != http.StatusMisdirectedRequest {
		return final(p)
	}
	return again(p)
}

// observeRefusal learns from a refusal that the instance leaves.
func (g *Gateway) observeRefusal(i instance.Instance, p problem.Problem) {
	if kindOf(p) != load.PhaseLeaving {
		return
	}
	report, known := g.router.Load(i.Name)
	if !known {
		report = load.Report{Instance: i.Name, DataCentre: i.DataCentre}
	}
	report.Phase = load.PhaseLeaving
	now := g.clock()
	g.router.Observe(report, now)
	g.members.ObserveReport(report, now)
}
