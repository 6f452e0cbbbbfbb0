package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/flamingohold/flamingohold/internal/connection/link"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/orderkey"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// inquiryTries bounds the inquiries in a row that bring no answer after the
	// link of an order was lost.
	inquiryTries = 3
	// inquiryDelay is the pause between two inquiries about a running order.
	inquiryDelay = 250 * time.Millisecond
)

// order answers a request that may run at most once.
func (s *session) order(svc *service.Service, a attempt.Attempt) {
	values := s.request.Header.Values(orderKeyHeader)
	if len(values) == 0 {
		s.orderWithoutKey(svc, a)
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
		s.orderWithoutKey(svc, a)
	case minted:
		s.orderBound(svc, a, instance, incarnation)
	default:
		s.orderAtHome(svc, a, key)
	}
}

// orderWithoutKey runs the order at any instance. Another one is tried only
// after an attempt that is known not to have run, or if the upstreams recognise
// the order's key.
func (s *session) orderWithoutKey(svc *service.Service, a attempt.Attempt) {
	failure, ok := s.newTries(svc, 0).run(func(i instance.Instance) result {
		incarnation, known := s.incarnationOf(i)
		if !known {
			return again(problem.NotRun(kindUnreachable, "the instance does not state its incarnation", noInstanceDelay).WithAt("inquire", i.Name))
		}
		r := s.tryOrder(i, a, incarnation)
		// Here an order has a key only if every upstream recognises it.
		r.again = r.problem.Outcome == problem.OutcomeNotRun || (a.OrderKey != "" && mayHaveRun(r.problem))
		return r
	})
	if !ok && !s.gone() {
		s.refuse(failure)
	}
}

// incarnationOf returns the incarnation to which an order at the instance is
// bound.
func (s *session) incarnationOf(i instance.Instance) (string, bool) {
	if known, ok := s.gateway.bindings.get(i.Name, s.gateway.clock()); ok {
		return known, true
	}
	incarnation := s.gateway.inquire(s.ctx, i)
	return incarnation, incarnation != ""
}

// orderBound runs an order at the one incarnation that its key names.
func (s *session) orderBound(svc *service.Service, a attempt.Attempt, name, incarnation string) {
	i, ok := s.gateway.members.Lookup(name)
	if !ok {
		s.refuse(problem.Unknown("instance_gone", "the instance that the key names is gone; an earlier attempt may have run there").WithAt("route", name))
		return
	}
	if i.Service != svc.Name {
		s.refuse(problem.Rejected("foreign_key", http.StatusUnprocessableEntity, "the key was minted for another service"))
		return
	}
	s.allow(svc.AdmissionTimeout())
	s.orderAt(i, a, incarnation)
}

// orderAtHome runs an order at the instance that keeps the records of its key.
// If that instance cannot be reached, an earlier attempt with the key may have
// run there.
func (s *session) orderAtHome(svc *service.Service, a attempt.Attempt, key orderkey.Key) {
	slot := key.Home(svc.Slots)
	holders := s.gateway.members.BySlot(svc.Name, slot)
	if slot == "" || len(holders) == 0 {
		s.refuse(problem.Unknown("home_gone", "no instance holds the records of the key; an earlier attempt may have run").WithAt("route", slot))
		return
	}
	s.decide("home", holders[0].Name, "slot "+slot, "rendezvous hashing of the key")
	incarnation, known := s.incarnationOf(holders[0])
	if !known {
		s.refuse(homeUnreachable(holders[0], "it does not answer"))
		return
	}
	s.allow(svc.AdmissionTimeout())
	s.orderAt(holders[0], a, incarnation)
}

func homeUnreachable(i instance.Instance, detail string) problem.Problem {
	return problem.Unknown("home_unreachable",
		"the instance with the records of the key cannot be reached, an earlier attempt may have run: "+detail).WithAt("offer", i.Name)
}

// orderAt runs an order with a key at the only instance that may run it.
func (s *session) orderAt(i instance.Instance, a attempt.Attempt, incarnation string) {
	r := s.tryOrder(i, a, incarnation)
	if kindOf(r.problem) == kindUnreachable {
		r.problem = homeUnreachable(i, r.problem.Detail)
	}
	if !r.done && !s.gone() {
		s.refuse(r.problem)
	}
}

// tryOrder offers an order to one incarnation and finds out what became of it.
func (s *session) tryOrder(i instance.Instance, a attempt.Attempt, incarnation string) result {
	a.ID = uuid.NewString()
	a.BoundIncarnation = incarnation
	a.AdmissionTimeoutMillis = s.remaining()
	f, err := s.exchange(i, &a)
	if err == nil {
		return s.settled(i, f)
	}
	g := s.gateway
	var refusal problem.Problem
	switch {
	case errors.As(err, &refusal):
		g.observeRefusal(i, refusal)
		return final(refusal)
	case errors.Is(err, link.ErrNotHanded):
		g.members.ObserveFailure(i.Name, g.clock())
		return final(problem.NotRun(kindUnreachable, err.Error(), noInstanceDelay).WithAt("offer", i.Name))
	}
	s.decide("inquire", i.Name, "revoke", err.Error())
	return s.inquireOrder(i, &a)
}

// settled answers with the response or the problem of an order.
func (s *session) settled(i instance.Instance, f *frame.Frame) result {
	if f.Kind == frame.KindFailed {
		s.gateway.observeRefusal(i, *f.Problem)
		return final(*f.Problem)
	}
	s.gateway.budget.Success()
	s.respond(f)
	return answered
}

// inquireOrder revokes an order whose link was lost. If it was started, it waits
// for the result; without an answer the outcome is unknown. The revocation is
// sent even if the caller has gone, so that queued work does not start for
// nobody.
func (s *session) inquireOrder(i instance.Instance, a *attempt.Attempt) result {
	ctx := context.WithoutCancel(s.ctx)
	ask := func() (attempt.Status, error) {
		return s.gateway.links.Revoke(ctx, i.SidecarAddress, a.ID, attempt.RevocationOf(a))
	}
	for silent := 0; silent < inquiryTries; {
		status, err := ask()
		if err != nil {
			silent++
			pause.For(s.ctx, inquiryDelay)
			continue
		}
		silent = 0
		if r, over := s.judge(i, status); over {
			return r
		}
		if s.gone() {
			return answered
		}
		ask = func() (attempt.Status, error) { return s.gateway.links.Query(ctx, i.SidecarAddress, a.ID) }
		pause.For(s.ctx, inquiryDelay)
	}
	s.gateway.members.ObserveFailure(i.Name, s.gateway.clock())
	return final(problem.Unknown("link_lost", "the link was lost and the instance does not answer").WithAt("inquire", i.Name))
}

// judge decides on the state of an order and reports whether it is final.
func (s *session) judge(i instance.Instance, status attempt.Status) (result, bool) {
	switch status.State {
	case attempt.StateQueued, attempt.StateRunning:
		return result{}, false
	case attempt.StateRevoked:
		return final(problem.NotRun("revoked", "the link was lost and the attempt was revoked before it was started", noInstanceDelay).WithAt("inquire", i.Name)), true
	case attempt.StateDone:
		return s.stored(i, status.Response), true
	}
	return final(problem.Unknown(status.State, "the instance does not know what became of the order").WithAt("inquire", i.Name)), true
}

// stored answers with the stored response of an order that has run.
func (s *session) stored(i instance.Instance, r *attempt.Response) result {
	if r == nil {
		return final(problem.Incomplete("answer_not_kept", "the order was run, but its answer is no longer kept").WithAt("inquire", i.Name))
	}
	s.respond(&frame.Frame{Status: r.Status, Header: r.Header, Body: r.Body})
	return answered
}
