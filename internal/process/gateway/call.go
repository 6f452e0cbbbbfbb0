package gateway

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/flamingohold/flamingohold/internal/connection/link"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

// call answers a request for a plain service.
func (s *session) call(svc *service.Service) {
	body, ok := s.readBody()
	if !ok {
		return
	}
	a := s.newAttempt(svc.Name, attempt.KindCall)
	a.Repeatable = svc.Repeatable(s.request.Method)
	a.Request = attempt.Request{
		Method: s.request.Method,
		Path:   s.request.URL.EscapedPath(),
		Query:  s.request.URL.RawQuery,
		Header: s.upstreamHeader(),
		Body:   body,
	}
	if !a.Repeatable {
		s.order(svc, a)
		return
	}
	failure, ok := s.newTries(svc, 0).run(func(i instance.Instance) result { return s.tryCall(i, a) })
	if !ok && !s.gone() {
		s.refuse(failure)
	}
}

// tryCall runs a repeatable call at the instance.
func (s *session) tryCall(i instance.Instance, a attempt.Attempt) result {
	a.ID = uuid.NewString()
	a.AdmissionTimeoutMillis = s.remaining()
	f, err := s.exchange(i, &a)
	switch {
	case err != nil:
		return s.offerFailed(i, err)
	case f.Kind == frame.KindFailed:
		return s.refused(i, *f.Problem)
	}
	s.gateway.budget.Success()
	s.respond(f)
	return answered
}

// exchange offers the attempt of a call to the instance and returns its response
// or failed frame.
func (s *session) exchange(i instance.Instance, a *attempt.Attempt) (*frame.Frame, error) {
	g := s.gateway
	ctx, span := g.telemetry.Tracer().Start(s.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", i.Name), attribute.String("attempt_id", a.ID)))
	defer span.End()
	s.decideRoute(i, "attempt "+a.ID)
	g.router.Begin(i.Name)
	defer g.router.End(i.Name)
	current, err := g.links.Offer(ctx, i.SidecarAddress, a)
	if err != nil {
		return nil, err
	}
	defer current.Close()
	return s.awaitResponse(i, current)
}

func (s *session) awaitResponse(i instance.Instance, current *link.Stream) (*frame.Frame, error) {
	f := new(frame.Frame)
	for {
		if err := current.Next(f); err != nil {
			return nil, err
		}
		if f.Load != nil {
			s.gateway.observe(i, *f.Load)
		}
		switch f.Kind {
		case frame.KindResponse, frame.KindFailed:
			return f, nil
		case frame.KindToken, frame.KindEnd:
			return nil, errors.Wrapf(link.ErrCrossed, "%s frame in answer to a call", f.Kind)
		}
	}
}

// mintKey answers with a new order key of an instance of the service.
func (s *session) mintKey() {
	if s.request.Method != http.MethodPost {
		s.refuseMethod("POST")
		return
	}
	svc, refusal := s.serviceForKey()
	if svc == nil {
		s.refuse(refusal)
		return
	}
	failure, ok := s.newTries(svc, 0).run(func(i instance.Instance) result {
		key, err := s.gateway.links.MintKey(s.ctx, i.SidecarAddress)
		if err != nil {
			return s.offerFailed(i, err)
		}
		s.writeJSON(http.StatusCreated, attempt.MintedKey{OrderKey: key})
		return answered
	})
	if !ok && !s.gone() {
		s.refuse(failure)
	}
}
