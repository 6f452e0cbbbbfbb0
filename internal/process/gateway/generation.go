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

	"github.com/flamingohold/flamingohold/internal/connection/link"
	"github.com/flamingohold/flamingohold/internal/connection/stream"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/answer"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/eventid"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// resumeTimeout is how long a generation is sought after its link was lost.
	// A sidecar is replaced in a few seconds.
	resumeTimeout = 20 * time.Second
	// firstResumeDelay and lastResumeDelay bound the pause between two tries.
	firstResumeDelay = 50 * time.Millisecond
	lastResumeDelay  = time.Second
	// maxBarrenResumes bounds the resumptions in a row that bring no token.
	maxBarrenResumes = 40
	// acknowledgeBytes is the amount of tokens after which those before the last
	// such amount are acknowledged. The sidecar keeps 1 MiB, and a caller that
	// resumes through another gateway finds at least this much.
	acknowledgeBytes = 192 << 10
)

// generation is a request to a model engine.
type generation struct {
	session  *session
	sink     sink
	template attempt.Attempt
	answer   answer.Answer
	// instance runs the generation.
	instance instance.Instance
	frame    frame.Frame
	// barren counts the resumptions since the last token.
	barren int
	// sinceCheckpoint is the size of the tokens after checkpoint.
	sinceCheckpoint int
	checkpoint      uint64
}

// serveGeneration answers a request of the OpenAI interface.
func (s *session) serveGeneration() {
	if id := s.request.Header.Get(lastEventIDHeader); id != "" {
		s.continueGeneration(id)
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
	p, err := parsePrompt(body)
	if err != nil {
		s.refuse(problem.Rejected("malformed_request", http.StatusBadRequest, err.Error()))
		return
	}
	s.generate(p)
}

func (s *session) generate(p prompt) {
	svc := s.configuration.ServiceForModel(p.model)
	if svc == nil {
		s.refuse(modelNotFound(p.model))
		return
	}
	g := &generation{session: s, sink: s.newSink(p.stream), template: s.newAttempt(svc.Name, attempt.KindGeneration)}
	g.template.Repeatable = true
	g.template.Model = p.model
	g.template.PromptTokens = p.tokens
	g.template.MaxTokens = p.maxTokens
	g.template.Stream = p.stream
	g.template.Request = attempt.Request{
		Method: http.MethodPost,
		Path:   s.request.URL.Path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   p.body,
	}
	if failure, ok := s.newTries(svc, p.prefix).run(g.try); !ok && !s.gone() {
		g.sink.fail(failure)
	}
}

func (s *session) newSink(streamed bool) sink {
	if streamed {
		return &eventSink{session: s}
	}
	return &wholeSink{session: s}
}

// newAttempt returns what all attempts for the request have in common.
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

// try runs the generation at the instance.
func (g *generation) try(i instance.Instance) result {
	s := g.session
	a := g.template
	a.ID = uuid.NewString()
	a.AdmissionTimeoutMillis = s.remaining()
	ctx, span := s.gateway.telemetry.Tracer().Start(s.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", i.Name), attribute.String("attempt_id", a.ID)))
	defer span.End()
	s.decideRoute(i, "attempt "+a.ID)
	s.gateway.router.Begin(i.Name)
	defer s.gateway.router.End(i.Name)
	g.instance = i
	g.answer = answer.Answer{}
	g.barren, g.sinceCheckpoint, g.checkpoint = 0, 0, 0
	g.sink.restart()
	links, err := s.gateway.links.Offer(ctx, i.SidecarAddress, &a)
	if err != nil {
		return s.offerFailed(i, err)
	}
	r := g.follow(ctx, links)
	if !r.done || s.gone() {
		g.abandon(&a)
	}
	return r
}

// abandon frees what the instance holds for an attempt whose answer nobody will
// read.
func (g *generation) abandon(a *attempt.Attempt) {
	s, i, id := g.session, g.instance, g.answer.Generation()
	if g.answer.Complete() {
		return
	}
	s.gateway.inBackground(func(ctx context.Context) error {
		if id != "" {
			return s.gateway.links.Cancel(ctx, i.SidecarAddress, id)
		}
		_, err := s.gateway.links.Revoke(ctx, i.SidecarAddress, a.ID, attempt.Revocation{})
		return err
	})
}

// follow reads the generation to its end, over as many links as it takes.
func (g *generation) follow(ctx context.Context, current *link.Stream) result {
	for {
		r, err := g.read(current)
		current.Close()
		if err == nil {
			return r
		}
		if g.session.gone() || errors.Is(err, stream.ErrClosed) {
			return answered
		}
		if g.answer.Generation() == "" {
			return g.session.offerFailed(g.instance, err)
		}
		var failure *problem.Problem
		if current, failure = g.resume(ctx, err); failure != nil {
			return g.lost(*failure)
		}
	}
}

// lost judges the end of a generation before its last token. Unless the caller
// has received tokens, it runs again.
func (g *generation) lost(p problem.Problem) result {
	if g.session.gone() {
		return answered
	}
	if p.Outcome == problem.OutcomeRejected {
		p = asIncomplete(p)
	}
	if g.sink.started() {
		return final(p)
	}
	g.session.allow(g.session.admission)
	return again(p)
}

// read delivers the frames of one link. A returned error is that of the link or
// of the caller; the generation may still go on.
func (g *generation) read(current *link.Stream) (result, error) {
	for {
		if err := current.Next(&g.frame); err != nil {
			return result{}, err
		}
		if g.frame.Load != nil {
			g.session.gateway.observe(g.instance, *g.frame.Load)
		}
		r, terminal, err := g.take(&g.frame)
		if err != nil || terminal {
			g.sink.flush()
			return r, err
		}
		if !current.More() {
			g.sink.flush()
		}
	}
}

// take handles one frame and reports whether it was the last one.
func (g *generation) take(f *frame.Frame) (r result, terminal bool, err error) {
	switch f.Kind {
	case frame.KindToken:
		return g.takeToken(f)
	case frame.KindAccepted:
		return result{}, false, g.accept(f.GenerationID)
	case frame.KindEnd:
		if err := g.answer.End(f.Seq); err != nil {
			return result{}, false, err
		}
		g.session.gateway.budget.Success()
		g.sink.end()
		return answered, true, nil
	case frame.KindResponse:
		return g.takeResponse(f)
	case frame.KindFailed:
		return g.takeFailure(*f.Problem), true, nil
	default:
		g.sink.idle(g.session.gateway.clock())
		return result{}, false, nil
	}
}

func (g *generation) takeToken(f *frame.Frame) (r result, terminal bool, err error) {
	deliver, err := g.answer.Token(f.Seq)
	if err != nil || !deliver {
		return result{}, false, err
	}
	g.barren = 0
	g.session.countToken(f.Seq)
	err = g.sink.token(g.answer.Generation(), f.Seq, f.Data)
	if err != nil && !errors.Is(err, stream.ErrClosed) {
		// The token counts as delivered, so that no later one may follow.
		return final(problem.Incomplete("malformed_chunk", err.Error()).WithAt("generation", g.instance.Name)), true, nil
	}
	g.acknowledge(f.Seq, len(f.Data))
	return result{}, false, err
}

// accept binds the answer to a generation of the instance.
func (g *generation) accept(id string) error {
	if !strings.HasPrefix(id, g.instance.Name+".") {
		return answer.ErrForeign
	}
	return g.answer.Accept(id)
}

// takeResponse passes on the engine's answer to a request that it did not start.
func (g *generation) takeResponse(f *frame.Frame) (r result, terminal bool, err error) {
	if g.answer.Position() > 0 {
		return result{}, false, answer.ErrForeign
	}
	g.session.respond(f)
	return answered, true, nil
}

func (g *generation) takeFailure(p problem.Problem) result {
	if g.answer.Position() == 0 && p.Outcome == problem.OutcomeNotRun {
		return g.session.refused(g.instance, p)
	}
	return g.lost(p)
}

// acknowledge lets the sidecar drop tokens that no caller needs any more.
func (g *generation) acknowledge(seq uint64, size int) {
	g.sinceCheckpoint += size
	if g.sinceCheckpoint < acknowledgeBytes {
		return
	}
	i, id, after := g.instance, g.answer.Generation(), g.checkpoint
	g.checkpoint = seq
	g.sinceCheckpoint = 0
	if after > 0 {
		g.session.gateway.inBackground(func(ctx context.Context) error {
			return g.session.gateway.links.Acknowledge(ctx, i.SidecarAddress, id, after)
		})
	}
}

// resume continues the generation on a new link, or returns the problem that
// ends it.
func (g *generation) resume(ctx context.Context, cause error) (*link.Stream, *problem.Problem) {
	s := g.session
	s.gateway.log.Emit(eventlog.LinkResumed).Str("request_id", s.id).Str("peer", g.instance.Name).
		Str("generation_id", g.answer.Generation()).Uint64("after", g.answer.Position()).Err(cause).Send()
	s.decide("resume", g.instance.Name, "new link", cause.Error())
	s.gateway.metrics.resumptions.Inc(1)
	g.barren++
	delay := firstResumeDelay
	for deadline := s.gateway.clock().Add(resumeTimeout); g.barren < maxBarrenResumes; delay = min(2*delay, lastResumeDelay) {
		next, err := g.reopen(ctx)
		if err == nil {
			return next, nil
		}
		var refusal problem.Problem
		if errors.As(err, &refusal) && !refusal.Retryable {
			return nil, &refusal
		}
		cause = err
		if s.gone() || s.gateway.clock().Add(delay).After(deadline) {
			break
		}
		pause.For(ctx, delay)
	}
	p := problem.Incomplete("generation_unreachable", cause.Error()).WithAt("resume", g.instance.Name)
	return nil, &p
}

// reopen asks the instance, wherever it is now, for the rest of the generation.
func (g *generation) reopen(ctx context.Context) (*link.Stream, error) {
	s := g.session
	ctx, span := s.gateway.telemetry.Tracer().Start(ctx, "resume", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", g.instance.Name)))
	defer span.End()
	if i, ok := s.gateway.members.Lookup(g.instance.Name); ok {
		g.instance = i
	}
	return s.gateway.links.Resume(ctx, g.instance.SidecarAddress, g.answer.Generation(), s.account.Name, g.answer.Position())
}

// continueGeneration continues an answer for a caller that has its tokens up to
// the event.
func (s *session) continueGeneration(event string) {
	id, err := eventid.Parse(event)
	if err != nil {
		s.refuse(problem.Rejected("malformed_event_id", http.StatusBadRequest, err.Error()))
		return
	}
	i, ok := s.gateway.members.Lookup(id.Instance())
	if !ok {
		s.refuse(problem.Incomplete("instance_gone", "the instance of the generation is not known here").WithAt("resume", id.Instance()))
		return
	}
	g := &generation{session: s, sink: s.newSink(true), instance: i, answer: answer.Resume(id.Generation, id.Token), checkpoint: id.Token}
	first, failure := g.resume(s.ctx, errors.New("the caller resumes"))
	if failure != nil {
		g.failResumption(*failure)
		return
	}
	r := g.follow(s.ctx, first)
	switch {
	case s.gone():
		g.abandon(&attempt.Attempt{})
	case !r.done:
		g.failResumption(r.problem)
	}
}

// failResumption ends a resumed answer. A refusal of the caller itself keeps its
// outcome.
func (g *generation) failResumption(p problem.Problem) {
	if g.session.gone() {
		return
	}
	if p.Outcome != problem.OutcomeRejected {
		p = asIncomplete(p)
	}
	g.sink.fail(p)
}
