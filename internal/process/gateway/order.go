package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/flamingohold/flamingohold/internal/connection/sidecarclient"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/orderkey"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// maxUnansweredQueries bounds the consecutive unanswered queries about an
	// order whose link was lost.
	maxUnansweredQueries = 3
	// queryDelay is the delay between two queries about an order.
	queryDelay = 250 * time.Millisecond
)

// serveOrder handles a request that may run at most once.
func (s *session) serveOrder(svc *service.Service, a attempt.Attempt) {
	values := s.request.Header.Values(orderKeyHeader)
	if len(values) == 0 {
		s.orderAtAnyInstance(svc, a)
		return
	}
	key, err := orderkey.Parse(values[0])
	if err != nil || len(values) > 1 {
		s.refuse(problem.Rejected("malformed_key", http.StatusBadRequest, orderkey.ErrMalformed.Error()))
		return
	}
	a.OrderKey = key.String()
	switch instance, incarnation, minted := key.Bound(); {
	case svc.Orders.UpstreamDeduplicates:
		s.orderAtAnyInstance(svc, a)
	case minted:
		s.orderBound(svc, a, instance, incarnation)
	default:
		s.orderAtHome(svc, a, key)
	}
}

// orderAtAnyInstance runs an order that has no key, or one whose key the upstreams
// deduplicate. It retries at another instance only if the previous attempt is
// known not to have run, or if the upstreams deduplicate the key.
func (s *session) orderAtAnyInstance(svc *service.Service, a attempt.Attempt) {
	failure, ok := s.newRetrier(svc, 0).run(func(i instance.Instance) result {
		incarnation, known := s.incarnationOf(i)
		if !known {
			return retryable(problem.NotRun(kindUnreachable, "the instance does not state its incarnation", noInstanceRetryDelay).WithLocation("inquire", i.Name))
		}
		r := s.attemptOrder(i, a, incarnation)
		// Orders with a key reach this function only if every upstream
		// deduplicates keys.
		r.retry = r.problem.Outcome == problem.OutcomeNotRun || (a.OrderKey != "" && mayHaveRun(r.problem))
		return r
	})
	if !ok && !s.callerDisconnected() {
		s.refuse(failure)
	}
}

// incarnationOf returns the incarnation to which an order at the instance must be
// bound. It queries the instance if there is no recent report.
func (s *session) incarnationOf(i instance.Instance) (string, bool) {
	if incarnation, ok := s.gateway.bindings.get(i.Name, s.gateway.clock()); ok {
		return incarnation, true
	}
	incarnation := s.gateway.fetchState(s.ctx, i)
	return incarnation, incarnation != ""
}

// orderBound runs an order at the incarnation that its minted key names.
func (s *session) orderBound(svc *service.Service, a attempt.Attempt, name, incarnation string) {
	i, ok := s.gateway.members.Lookup(name)
	if !ok {
		s.refuse(problem.Unknown("instance_gone", "the instance that the key names is gone; an earlier attempt may have run there").WithLocation("route", name))
		return
	}
	if i.Service != svc.Name {
		s.refuse(problem.Rejected("foreign_key", http.StatusUnprocessableEntity, "the key was minted for another service"))
		return
	}
	s.startAdmissionWait(svc.AdmissionTimeout())
	s.orderAt(i, a, incarnation)
}

// orderAtHome runs an order at the home instance of its opaque key, which keeps
// the records of that key. If that instance cannot be reached, the outcome is
// unknown, because an earlier attempt with the key may have run there.
func (s *session) orderAtHome(svc *service.Service, a attempt.Attempt, key orderkey.Key) {
	slot := key.Home(svc.Slots)
	holders := s.gateway.members.BySlot(svc.Name, slot)
	if slot == "" || len(holders) == 0 {
		s.refuse(problem.Unknown("home_gone", "no instance holds the records of the key; an earlier attempt may have run").WithLocation("route", slot))
		return
	}
	s.recordDecision("home", holders[0].Name, "slot "+slot, "rendezvous hashing of the key")
	incarnation, known := s.incarnationOf(holders[0])
	if !known {
		s.refuse(homeUnreachable(holders[0], "it does not answer"))
		return
	}
	s.startAdmissionWait(svc.AdmissionTimeout())
	s.orderAt(holders[0], a, incarnation)
}

func homeUnreachable(i instance.Instance, detail string) problem.Problem {
	return problem.Unknown("home_unreachable",
		"the instance with the records of the key cannot be reached, an earlier attempt may have run: "+detail).WithLocation("offer", i.Name)
}

// orderAt runs an order with a key at the only instance that may run it, without
// a retry.
func (s *session) orderAt(i instance.Instance, a attempt.Attempt, incarnation string) {
	r := s.attemptOrder(i, a, incarnation)
	if kindOf(r.problem) == kindUnreachable {
		r.problem = homeUnreachable(i, r.problem.Detail)
	}
	if !r.done && !s.callerDisconnected() {
		s.refuse(r.problem)
	}
}

// attemptOrder offers an order to one incarnation and determines its outcome.
func (s *session) attemptOrder(i instance.Instance, a attempt.Attempt, incarnation string) result {
	a.ID = uuid.NewString()
	a.Binding = incarnation
	a.AdmissionTimeoutMillis = s.remainingMillis()
	f, err := s.sendCall(i, &a)
	if err == nil {
		return s.handleSettledOrder(i, f)
	}
	g := s.gateway
	var refusal problem.Problem
	switch {
	case errors.As(err, &refusal):
		g.observeRefusal(i, refusal)
		return final(refusal)
	case errors.Is(err, sidecarclient.ErrNotSent):
		g.members.ObserveFailure(i.Name, g.clock())
		return final(problem.NotRun(kindUnreachable, err.Error(), noInstanceRetryDelay).WithLocation("offer", i.Name))
	}
	s.recordDecision("inquire", i.Name, "revoke", err.Error())
	return s.resolveOrder(i, &a)
}

// handleSettledOrder forwards the response of an order, or returns its problem.
func (s *session) handleSettledOrder(i instance.Instance, f *frame.Frame) result {
	if f.Kind == frame.KindFailed {
		s.gateway.observeRefusal(i, *f.Problem)
		return final(*f.Problem)
	}
	s.gateway.budget.RecordSuccess()
	s.respond(f)
	return finished
}

// resolveOrder revokes an order whose link was lost. If the order has already
// started, it waits for the result. If the instance does not answer, the outcome
// is unknown. The revocation is sent even if the caller has disconnected, so that
// a queued order does not run without a recipient for its answer.
func (s *session) resolveOrder(i instance.Instance, a *attempt.Attempt) result {
	ctx := context.WithoutCancel(s.ctx)
	query := func() (attempt.Status, error) {
		return s.gateway.links.Revoke(ctx, i.SidecarAddress, a.ID, attempt.RevocationOf(a))
	}
	for unanswered := 0; unanswered < maxUnansweredQueries; {
		status, err := query()
		if err != nil {
			unanswered++
			pause.For(s.ctx, queryDelay)
			continue
		}
		unanswered = 0
		if r, decided := s.handleOrderStatus(i, status); decided {
			return r
		}
		if s.callerDisconnected() {
			return finished
		}
		query = func() (attempt.Status, error) { return s.gateway.links.Query(ctx, i.SidecarAddress, a.ID) }
		pause.For(s.ctx, queryDelay)
	}
	s.gateway.members.ObserveFailure(i.Name, s.gateway.clock())
	return final(problem.Unknown("link_lost", "the link was lost and the instance does not answer").WithLocation("inquire", i.Name))
}

// handleOrderStatus returns the result for the state of an order, and false while
// the order is queued or running.
func (s *session) handleOrderStatus(i instance.Instance, status attempt.Status) (result, bool) {
	switch status.State {
	case attempt.StateQueued, attempt.StateRunning:
		return result{}, false
	case attempt.StateRevoked:
		return final(problem.NotRun("revoked", "the link was lost and the attempt was revoked before it was started", noInstanceRetryDelay).WithLocation("inquire", i.Name)), true
	case attempt.StateDone:
		return s.respondStored(i, status.Response), true
	}
	return final(problem.Unknown(status.State, "the instance does not know what became of the order").WithLocation("inquire", i.Name)), true
}

// respondStored sends the stored response of an order that has run. The response
// is nil if the sidecar no longer keeps it.
func (s *session) respondStored(i instance.Instance, r *attempt.Response) result {
	if r == nil {
		return final(problem.Incomplete("answer_not_kept", "the order was run, but its answer is no longer kept").WithLocation("inquire", i.Name))
	}
	s.respond(&frame.Frame{Status: r.Status, Header: r.Header, Body: r.Body})
	return finished
}
