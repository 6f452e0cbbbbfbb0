package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/flamingohold/flamingohold/internal/connection/stream"
	"github.com/flamingohold/flamingohold/internal/process/decisions"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	requestIDHeader    = "X-Request-Id"
	maxRequestIDLength = 128
	orderKeyHeader     = "Idempotency-Key"
	lastEventIDHeader  = "Last-Event-Id"
	// startingDelay is the delay after which a starting gateway may be asked
	// again.
	startingDelay = time.Second
)

// session is one caller's request on its way through the gateway.
type session struct {
	gateway *Gateway
	writer  *stream.Writer
	request *http.Request
	// ctx ends when the caller disconnects, and carries the gateway's span.
	ctx context.Context
	// id is the request identifier. Two accounts may use the same one.
	id string
	// began is when the request arrived.
	began         time.Time
	configuration *configuration.Configuration
	account       *account.Account
	// admission is how long the request may wait for admission, and deadline when
	// that time ends.
	admission time.Duration
	deadline  time.Time
	// openAI is true if the caller expects errors as OpenAI writes them.
	openAI bool
}

// callerHandler serves the callers' listener.
func (g *Gateway) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := g.telemetry.Tracer().Start(g.telemetry.Extract(r.Context(), r.Header), "gateway",
			trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		s := &session{gateway: g, writer: stream.New(w), request: r, ctx: ctx, id: requestID(r), began: g.clock()}
		span.SetAttributes(attribute.String("request_id", s.id))
		s.writer.Header().Set(requestIDHeader, s.id)
		g.telemetry.Inject(ctx, s.writer.Header())
		g.metrics.requests.Inc(1)
		s.admit()
	})
}

// requestID returns the caller's identifier, or a new one if it has none or one
// that could not be passed on.
func requestID(r *http.Request) string {
	id := r.Header.Get(requestIDHeader)
	if id == "" || len(id) > maxRequestIDLength || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return uuid.NewString()
	}
	return id
}

// admit authenticates the account and applies its limit.
func (s *session) admit() {
	g := s.gateway
	s.openAI = isOpenAI(s.request.URL.Path)
	s.configuration = g.configurations.Current()
	if s.configuration == nil {
		s.refuse(problem.NotRun("starting", "the gateway has no configuration yet", startingDelay))
		return
	}
	key, found := strings.CutPrefix(s.request.Header.Get("Authorization"), "Bearer ")
	if found && key != "" {
		s.account = s.configuration.AccountByKey(key)
	}
	if s.account == nil {
		s.writer.Header().Set("Www-Authenticate", "Bearer")
		s.refuse(problem.Rejected("unauthenticated", http.StatusUnauthorized, "the account key is missing or wrong"))
		return
	}
	delay, ok := g.limiter.Acquire(s.account, g.clock())
	if !ok {
		s.decide("account_limit", "", "refused", "the account's share of its limit is used up")
		s.refuse(problem.NotRun("account_limit", "the account's limit is reached", delay).WithStatus(http.StatusTooManyRequests))
		return
	}
	defer func() { g.limiter.Release(s.account.Name, g.clock()) }()
	s.dispatch()
}

func isOpenAI(path string) bool {
	return isGeneration(path) || path == modelsPath || strings.HasPrefix(path, modelsPath+"/")
}

func isGeneration(path string) bool { return path == chatPath || path == textPath }

// dispatch finds out what the request is for.
func (s *session) dispatch() {
	path := s.request.URL.Path
	svc := s.configuration.ServiceForRequest(s.request.Host, path)
	byHost := svc != nil && svc.Matches(s.request.Host, "")
	switch {
	case path == orderKeysPath:
		s.mintKey()
	case byHost:
		s.call(svc)
	case isGeneration(path):
		s.serveGeneration()
	case s.openAI:
		s.serveModels()
	case svc != nil:
		s.call(svc)
	default:
		s.refuse(problem.Rejected("not_found", http.StatusNotFound, "no service is configured for the host and path"))
	}
}

// readBody returns the request's body. The listener bounds it.
func (s *session) readBody() ([]byte, bool) {
	body, err := io.ReadAll(s.request.Body)
	if err != nil {
		s.refuse(problem.Rejected("malformed_request", http.StatusBadRequest, "the body cannot be read"))
		return nil, false
	}
	return body, true
}

// refuse answers with the problem.
func (s *session) refuse(p problem.Problem) {
	p = s.located(p)
	s.record(p)
	if s.openAI {
		_ = writeOpenAIProblem(s.writer, p)
		return
	}
	_ = p.Write(s.writer)
}

// located completes the problem's place.
func (s *session) located(p problem.Problem) problem.Problem {
	if p.Step == "" {
		p = p.WithAt("gateway", s.gateway.settings.Name)
	}
	p.Instance = s.request.URL.Path
	return p.WithRequest(s.id)
}

// record logs and counts a problem that the caller receives.
func (s *session) record(p problem.Problem) {
	event := eventlog.RequestRefused
	switch {
	case p.Outcome == problem.OutcomeIncomplete:
		event = eventlog.AnswerIncomplete
	case p.Outcome == problem.OutcomeUnknown && !s.openAI:
		event = eventlog.OrderOutcomeUnknown
	}
	name := ""
	if s.account != nil {
		name = s.account.Name
	}
	s.gateway.metrics.refused(p.Outcome)
	s.gateway.log.Emit(event).Str("request_id", s.id).Str("account", name).Str("problem", p.Type).
		Str("outcome", p.Outcome).Str("step", p.Step).Str("peer", p.Peer).Str("detail", p.Detail).Send()
	trace.SpanFromContext(s.ctx).SetAttributes(attribute.String("outcome", p.Outcome), attribute.String("problem", p.Type))
}

// decide records a decision for `flamingohold explain`.
func (s *session) decide(step, peer, choice, reason string) {
	name := ""
	if s.account != nil {
		name = s.account.Name
	}
	s.gateway.decisions.Add(decisions.Record{
		Time: s.gateway.clock(), RequestID: s.id, Account: name, Step: step, Peer: peer, Choice: choice, Reason: reason,
	})
}

// decideRoute records the choice of an instance.
func (s *session) decideRoute(i instance.Instance, reason string) {
	record := decisions.Record{
		Time: s.gateway.clock(), RequestID: s.id, Account: s.account.Name, Step: "route", Peer: i.Name, Choice: "offer", Reason: reason,
	}
	if report, known := s.gateway.router.Load(i.Name); known {
		record.Observations = []decisions.Observation{
			{Subject: i.Name, Name: "pressure", Value: report.Pressure()},
			{Subject: i.Name, Name: "free_memory", Value: report.FreeMemory},
		}
	}
	s.gateway.decisions.Add(record)
}

// countToken counts a token of the answer.
func (s *session) countToken(seq uint64) {
	m := s.gateway.metrics
	m.tokens.Inc(1)
	if seq == 1 {
		m.firstToken.RecordDuration(s.gateway.clock().Sub(s.began))
	}
}

// gone reports whether the caller has disconnected.
func (s *session) gone() bool { return s.ctx.Err() != nil || s.writer.Closed() }

// allow starts the time that the request may wait for admission.
func (s *session) allow(admission time.Duration) {
	s.admission = admission
	s.deadline = s.gateway.clock().Add(admission)
}

// remaining returns the rest of that time in milliseconds, at least one.
func (s *session) remaining() int64 {
	return max(1, s.deadline.Sub(s.gateway.clock()).Milliseconds())
}
