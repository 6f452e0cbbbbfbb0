package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/flamingohold/flamingohold/internal/connection/sidecarclient"
	"github.com/flamingohold/flamingohold/internal/connection/stream"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/delivery"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/eventid"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// resumeTimeout bounds the resumption of a generation after its link was
	// lost. Replacing a sidecar takes a few seconds.
	resumeTimeout = 20 * time.Second
	// initialResumeDelay and maxResumeDelay bound the delay between two
	// resumption attempts. It doubles after each failure.
	initialResumeDelay = 50 * time.Millisecond
	maxResumeDelay     = time.Second
	// maxResumesWithoutToken bounds the consecutive resumptions that deliver no
	// new token.
	maxResumesWithoutToken = 40
	// acknowledgeIntervalBytes is the number of delivered token bytes between two
	// checkpoints. At each checkpoint, the tokens up to the previous checkpoint
	// are acknowledged. The sidecar buffers 1 MiB, and at least the last
	// acknowledgeIntervalBytes stay available to a caller that resumes through
	// another gateway.
	acknowledgeIntervalBytes = 192 << 10
)

// generation is the processing of one request by a model engine. Attempts at
// several instances may follow each other until a token has been sent to the
// caller.
type generation struct {
	session  *session
	sink     sink
	template attempt.Attempt
	tracker  delivery.Tracker
	// instance is where the current attempt runs.
	instance instance.Instance
	frame    frame.Frame
	// resumesWithoutToken counts the resumptions since the last new token.
	resumesWithoutToken int
	// bytesSinceCheckpoint is the size of the tokens delivered after checkpoint,
	// which is the sequence number of a token.
	bytesSinceCheckpoint int
	checkpoint           uint64
}

// serveGeneration handles a completion request of the OpenAI API, or resumes an
// earlier answer if the request has a Last-Event-ID header.
func (s *session) serveGeneration() {
	if id := s.request.Header.Get(lastEventIDHeader); id != "" {
		s.resumeGeneration(id)
		return
	}
	if s.request.Method != http.MethodPost {
		s.refuseMethod("POST")
		return
	}
	body, ok := s.readBody()
	if !ok {
		return
	}
	gr, err := parseGenerationRequest(body)
	if err != nil {
		s.refuse(problem.Rejected("malformed_request", http.StatusBadRequest, err.Error()))
		return
	}
	s.generate(gr)
}

func (s *session) generate(gr generationRequest) {
	svc := s.configuration.ServiceForModel(gr.model)
	if svc == nil {
		s.refuse(modelNotFound(gr.model))
		return
	}
	g := &generation{session: s, sink: s.newSink(gr.stream), template: s.newAttempt(svc.Name, attempt.KindGeneration)}
	g.template.Repeatable = true
	g.template.Model = gr.model
	g.template.PromptTokens = gr.tokens
	g.template.MaxTokens = gr.maxTokens
	g.template.Stream = gr.stream
	g.template.Request = attempt.Request{
		Method: http.MethodPost,
		Path:   s.request.URL.Path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   gr.body,
	}
	if failure, ok := s.newRetrier(svc, gr.prefix).withMaxLost(maxLost).run(g.attemptAt); !ok && !s.callerDisconnected() {
		g.sink.fail(failure)
	}
}

func (s *session) newSink(streamed bool) sink {
	if streamed {
		return &eventStreamSink{session: s}
	}
	return &bufferedSink{session: s}
}

// newAttempt returns an attempt with the fields that are equal in all attempts
// for the request.
func (s *session) newAttempt(service, kind string) attempt.Attempt {
	return attempt.Attempt{
		RequestID:            s.id,
		Account:              s.account.Name,
		Service:              service,
		Kind:                 kind,
		ConfigurationVersion: s.configuration.Version,
		Priority:             s.account.Priority,
	}
}

// attemptAt runs one attempt of the generation at the instance. If the attempt
// does not answer the caller, or the caller has disconnected, it is abandoned at
// the instance.
func (g *generation) attemptAt(i instance.Instance) result {
	s := g.session
	a := g.template
	a.ID = uuid.NewString()
	a.AdmissionTimeoutMillis = s.remainingMillis()
	ctx, span := s.gateway.telemetry.Tracer().Start(s.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", i.Name), attribute.String("attempt_id", a.ID)))
	defer span.End()
	s.recordRoute(i, "attempt "+a.ID)
	s.gateway.router.BeginAttempt(i.Name)
	defer s.gateway.router.EndAttempt(i.Name)
	g.instance = i
	g.tracker = delivery.Tracker{}
	g.resumesWithoutToken, g.bytesSinceCheckpoint, g.checkpoint = 0, 0, 0
	g.sink.reset()
	linkStream, err := s.gateway.links.Offer(ctx, i.SidecarAddress, &a)
	if err != nil {
		return s.handleOfferError(i, err)
	}
	r := g.follow(ctx, linkStream)
	if !r.done || s.callerDisconnected() {
		g.abandon(&a)
	}
	return r
}

// abandon cancels or revokes an attempt whose answer is no longer needed, so that
// the instance releases its resources.
func (g *generation) abandon(a *attempt.Attempt) {
	s, i, id := g.session, g.instance, g.tracker.Generation()
	if g.tracker.Complete() {
		return
	}
	s.gateway.sendInBackground(func(ctx context.Context) error {
		if id != "" {
			return s.gateway.links.Cancel(ctx, i.SidecarAddress, id)
		}
		_, err := s.gateway.links.Revoke(ctx, i.SidecarAddress, a.ID, attempt.Revocation{})
		return err
	})
}

// follow reads the generation to its end and resumes it on a new link whenever
// the current one is lost.
func (g *generation) follow(ctx context.Context, linkStream *sidecarclient.Stream) result {
	for {
		r, err := g.readFrames(linkStream)
		linkStream.Close()
		if err == nil {
			return r
		}
		if g.session.callerDisconnected() || errors.Is(err, stream.ErrClosed) {
			return finished
		}
		if g.tracker.Generation() == "" {
			return g.session.handleOfferError(g.instance, err)
		}
		var failure *problem.Problem
		if linkStream, failure = g.resume(ctx, err); failure != nil {
			return g.handleLoss(*failure)
		}
	}
}

// handleLoss returns the result for a generation that ended before its last
// token. It may be generated again unless the caller has received tokens.
func (g *generation) handleLoss(p problem.Problem) result {
	if g.session.callerDisconnected() {
		return finished
	}
	if p.Outcome == problem.OutcomeRejected {
		p = asIncomplete(p)
	}
	if g.sink.started() {
		return final(p)
	}
	g.session.startAdmissionWait(g.session.admissionTimeout)
	return retryable(p)
}

// readFrames handles the frames of one link until the generation ends. An error
// means that the link or the caller's connection failed; the generation may still
// be running.
func (g *generation) readFrames(linkStream *sidecarclient.Stream) (result, error) {
	for {
		if err := linkStream.Next(&g.frame); err != nil {
			return result{}, err
		}
		if g.frame.Load != nil {
			g.session.gateway.observe(g.instance, *g.frame.Load)
		}
		r, terminal, err := g.handleFrame(&g.frame)
		if err != nil || terminal {
			g.sink.flush()
			return r, err
		}
		if !linkStream.Buffered() {
			g.sink.flush()
		}
	}
}

// handleFrame handles one frame and reports whether it ended the generation.
func (g *generation) handleFrame(f *frame.Frame) (r result, terminal bool, err error) {
	switch f.Kind {
	case frame.KindToken:
		return g.handleToken(f)
	case frame.KindAccepted:
		return result{}, false, g.accept(f.GenerationID)
	case frame.KindEnd:
		if err := g.tracker.End(f.Seq); err != nil {
			return result{}, false, err
		}
		g.session.gateway.budget.RecordSuccess()
		g.sink.end()
		return finished, true, nil
	case frame.KindResponse:
		return g.handleResponse(f)
	case frame.KindFailed:
		return g.handleFailure(*f.Problem), true, nil
	default:
		g.sink.keepAlive(g.session.gateway.clock())
		return result{}, false, nil
	}
}

func (g *generation) handleToken(f *frame.Frame) (r result, terminal bool, err error) {
	deliver, err := g.tracker.Token(f.Seq)
	if err != nil || !deliver {
		return result{}, false, err
	}
	g.resumesWithoutToken = 0
	g.session.countToken(f.Seq)
	err = g.sink.token(g.tracker.Generation(), f.Seq, f.Data)
	if err != nil && !errors.Is(err, stream.ErrClosed) {
		// The answer state already counts this token as delivered, so sending a
		// later token would leave a gap.
		return final(problem.Incomplete("malformed_chunk", err.Error()).WithLocation("generation", g.instance.Name)), true, nil
	}
	g.acknowledge(f.Seq, len(f.Data))
	return result{}, false, err
}

// accept binds the answer to the generation, which must belong to the current
// instance.
func (g *generation) accept(id string) error {
	if !strings.HasPrefix(id, g.instance.Name+".") {
		return delivery.ErrWrongGeneration
	}
	return g.tracker.Accept(id)
}

// handleResponse forwards the engine's response to a request for which it started
// no generation, such as a validation error.
func (g *generation) handleResponse(f *frame.Frame) (r result, terminal bool, err error) {
	if g.tracker.Position() > 0 {
		return result{}, false, delivery.ErrWrongGeneration
	}
	g.session.respond(f)
	return finished, true, nil
}

func (g *generation) handleFailure(p problem.Problem) result {
	if g.tracker.Position() == 0 && p.Outcome == problem.OutcomeNotRun {
		return g.session.handleRefusal(g.instance, p)
	}
	return g.handleLoss(p)
}

// acknowledge counts a delivered token and, at each checkpoint, lets the sidecar
// discard the tokens up to the previous checkpoint.
func (g *generation) acknowledge(seq uint64, size int) {
	g.bytesSinceCheckpoint += size
	if g.bytesSinceCheckpoint < acknowledgeIntervalBytes {
		return
	}
	i, id, after := g.instance, g.tracker.Generation(), g.checkpoint
	g.checkpoint = seq
	g.bytesSinceCheckpoint = 0
	if after > 0 {
		g.session.gateway.sendInBackground(func(ctx context.Context) error {
			return g.session.gateway.links.Acknowledge(ctx, i.SidecarAddress, id, after)
		})
	}
}

// resume opens a new link to the generation and retries until resumeTimeout. It
// returns the link or the problem that ends the generation.
func (g *generation) resume(ctx context.Context, cause error) (*sidecarclient.Stream, *problem.Problem) {
	s := g.session
	s.gateway.log.Emit(eventlog.LinkResumed).Str("request_id", s.id).Str("peer", g.instance.Name).
		Str("generation_id", g.tracker.Generation()).Uint64("after", g.tracker.Position()).Err(cause).Send()
	s.recordDecision("resume", g.instance.Name, "open new link", cause.Error())
	s.gateway.metrics.resumptions.Inc(1)
	g.resumesWithoutToken++
	delay := initialResumeDelay
	for deadline := s.gateway.clock().Add(resumeTimeout); g.resumesWithoutToken < maxResumesWithoutToken; delay = min(2*delay, maxResumeDelay) {
		linkStream, err := g.reopen(ctx)
		if err == nil {
			return linkStream, nil
		}
		var refusal problem.Problem
		if errors.As(err, &refusal) && !refusal.Retryable {
			return nil, &refusal
		}
		cause = err
		if s.callerDisconnected() || s.gateway.clock().Add(delay).After(deadline) {
			break
		}
		pause.For(ctx, delay)
	}
	p := problem.Incomplete("generation_unreachable", cause.Error()).WithLocation("resume", g.instance.Name)
	return nil, &p
}

// reopen requests the tokens after the current position from the instance, at
// its current address.
func (g *generation) reopen(ctx context.Context) (*sidecarclient.Stream, error) {
	s := g.session
	ctx, span := s.gateway.telemetry.Tracer().Start(ctx, "resume", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", g.instance.Name)))
	defer span.End()
	if i, ok := s.gateway.members.Lookup(g.instance.Name); ok {
		g.instance = i
	}
	return s.gateway.links.Resume(ctx, g.instance.SidecarAddress, g.tracker.Generation(), s.account.Name, g.tracker.Position())
}

// resumeGeneration streams the rest of an answer to a caller that has received
// its tokens up to the event.
func (s *session) resumeGeneration(event string) {
	id, err := eventid.Parse(event)
	if err != nil {
		s.refuse(problem.Rejected("malformed_event_id", http.StatusBadRequest, err.Error()))
		return
	}
	i, ok := s.gateway.members.Lookup(id.Instance())
	if !ok {
		s.refuse(problem.Incomplete("instance_gone", "the instance of the generation is not known here").WithLocation("resume", id.Instance()))
		return
	}
	g := &generation{session: s, sink: s.newSink(true), instance: i, tracker: delivery.Resume(id.Generation, id.Token), checkpoint: id.Token}
	linkStream, failure := g.resume(s.ctx, errors.New("the caller requested resumption"))
	if failure != nil {
		g.failResumption(*failure)
		return
	}
	r := g.follow(s.ctx, linkStream)
	switch {
	case s.callerDisconnected():
		g.abandon(&attempt.Attempt{})
	case !r.done:
		g.failResumption(r.problem)
	}
}

// failResumption ends a resumed answer with the problem. The outcome rejected,
// which means that the caller's request is at fault, is kept; any other becomes
// incomplete.
func (g *generation) failResumption(p problem.Problem) {
	if g.session.callerDisconnected() {
		return
	}
	if p.Outcome != problem.OutcomeRejected {
		p = asIncomplete(p)
	}
	g.sink.fail(p)
}
