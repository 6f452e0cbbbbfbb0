package gateway

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/flamingohold/flamingohold/internal/connection/sidecarclient"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

// serveCall handles a request for a plain service.
func (s *session) serveCall(svc *service.Service) {
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
		s.serveOrder(svc, a)
		return
	}
	failure, ok := s.newRetrier(svc, 0).withMaxLost(maxLost).run(func(i instance.Instance) result { return s.attemptCall(i, a) })
	if !ok && !s.callerDisconnected() {
		s.refuse(failure)
	}
}

// attemptCall sends a repeatable call to the instance and answers the caller.
func (s *session) attemptCall(i instance.Instance, a attempt.Attempt) result {
	a.ID = uuid.NewString()
	a.AdmissionTimeoutMillis = s.remainingMillis()
	f, err := s.sendCall(i, &a)
	switch {
	case err != nil:
		return s.handleOfferError(i, err)
	case f.Kind == frame.KindFailed:
		return s.handleRefusal(i, *f.Problem)
	}
	s.gateway.budget.RecordSuccess()
	s.respond(f)
	return finished
}

// sendCall offers an attempt of a call to the instance and returns the response
// frame or failed frame that ends it.
func (s *session) sendCall(i instance.Instance, a *attempt.Attempt) (*frame.Frame, error) {
	g := s.gateway
	ctx, span := g.telemetry.Tracer().Start(s.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", i.Name), attribute.String("attempt_id", a.ID)))
	defer span.End()
	s.recordRoute(i, "attempt "+a.ID)
	g.router.BeginAttempt(i.Name)
	defer g.router.EndAttempt(i.Name)
	linkStream, err := g.links.Offer(ctx, i.SidecarAddress, a)
	if err != nil {
		return nil, err
	}
	defer linkStream.Close()
	return s.awaitResponse(i, linkStream)
}

func (s *session) awaitResponse(i instance.Instance, linkStream *sidecarclient.Stream) (*frame.Frame, error) {
	f := new(frame.Frame)
	for {
		if err := linkStream.Next(f); err != nil {
			return nil, err
		}
		if f.Load != nil {
			s.gateway.observe(i, *f.Load)
		}
		switch f.Kind {
		case frame.KindResponse, frame.KindFailed:
			return f, nil
		case frame.KindToken, frame.KindEnd:
			return nil, errors.Wrapf(sidecarclient.ErrWrongStream, "%s frame in answer to a call", f.Kind)
		}
	}
}

// serveOrderKey returns a new order key, minted by an instance of the requested
// service.
func (s *session) serveOrderKey() {
	if s.request.Method != http.MethodPost {
		s.refuseMethod("POST")
		return
	}
	svc, refusal := s.serviceForKey()
	if svc == nil {
		s.refuse(refusal)
		return
	}
	failure, ok := s.newRetrier(svc, 0).run(func(i instance.Instance) result {
		key, err := s.gateway.links.NewOrderKey(s.ctx, i.SidecarAddress)
		if err != nil {
			return s.handleOfferError(i, err)
		}
		s.writeJSON(http.StatusCreated, attempt.MintedKey{OrderKey: key})
		return finished
	})
	if !ok && !s.callerDisconnected() {
		s.refuse(failure)
	}
}
