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
	// startingRetryDelay is the Retry-After delay while the gateway has no
	// configuration.
	startingRetryDelay = time.Second
)

// session handles one request of a caller.
type session struct {
	gateway *Gateway
	writer  *stream.Writer
	request *http.Request
	// ctx is cancelled when the caller disconnects. It carries the gateway's trace
	// span.
	ctx context.Context
	// id is the request identifier. It is not unique: two accounts may use the
	// same one.
	id string
	// receivedAt is the arrival time of the request.
	receivedAt    time.Time
	configuration *configuration.Configuration
	account       *account.Account
	// admissionTimeout is how long the request may wait for admission by an
	// instance, and deadline is when that time ends.
	admissionTimeout time.Duration
	deadline         time.Time
	// openAI is true if errors must be in the format of the OpenAI API.
	openAI bool
}

// callerHandler returns the handler of the caller listener.
func (g *Gateway) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := g.telemetry.Tracer().Start(g.telemetry.Extract(r.Context(), r.Header), "gateway",
			trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		s := &session{gateway: g, writer: stream.New(w), request: r, ctx: ctx, id: requestID(r), receivedAt: g.clock()}
		span.SetAttributes(attribute.String("request_id", s.id))
		s.writer.Header().Set(requestIDHeader, s.id)
		g.telemetry.Inject(ctx, s.writer.Header())
		g.metrics.requests.Inc(1)
		s.admit()
	})
}

// requestID returns the caller's request identifier. It generates a new one if
// that is missing, too long or contains characters that are unsafe in a header.
func requestID(r *http.Request) string {
	id := r.Header.Get(requestIDHeader)
	if id == "" || len(id) > maxRequestIDLength || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return uuid.NewString()
	}
	return id
}

// admit authenticates the account, applies its limit and handles the request.
func (s *session) admit() {
	g := s.gateway
	s.openAI = isOpenAI(s.request.URL.Path)
	s.configuration = g.configurations.Current()
	if s.configuration == nil {
		s.refuse(problem.NotRun("starting", "the gateway has no configuration yet", startingRetryDelay))
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
		s.recordDecision("account_limit", "", "refused", "this gateway's share of the account limit is exhausted")
		s.refuse(problem.NotRun("account_limit", "the account's limit is reached", delay).WithStatus(http.StatusTooManyRequests))
		return
	}
	defer func() { g.limiter.Release(s.account.Name, g.clock()) }()
	s.dispatch()
}

func isOpenAI(path string) bool {
	return isGeneration(path) || path == modelsPath || strings.HasPrefix(path, modelsPath+"/")
}

func isGeneration(path string) bool { return path == chatCompletionsPath || path == completionsPath }

// dispatch selects the handler for the request's host and path.
func (s *session) dispatch() {
	path := s.request.URL.Path
	svc := s.configuration.ServiceForRequest(s.request.Host, path)
	byHost := svc != nil && svc.Matches(s.request.Host, "")
	switch {
	case path == orderKeysPath:
		s.serveOrderKey()
	case byHost:
		s.serveCall(svc)
	case isGeneration(path):
		s.serveGeneration()
	case s.openAI:
		s.serveModels()
	case svc != nil:
		s.serveCall(svc)
	default:
		s.refuse(problem.Rejected("not_found", http.StatusNotFound, "no service is configured for the host and path"))
	}
}

// readBody returns the request's body. The listener limits its size. If the body
// cannot be read, readBody refuses the request and returns false.
func (s *session) readBody() ([]byte, bool) {
	body, err := io.ReadAll(s.request.Body)
	if err != nil {
		s.refuse(unreadableBody())
		return nil, false
	}
	return body, true
}

func unreadableBody() problem.Problem {
	return problem.Rejected("malformed_request", http.StatusBadRequest, "the body cannot be read")
}

// refuse sends the problem as the response.
func (s *session) refuse(p problem.Problem) {
	p = s.completeProblem(p)
	s.recordProblem(p)
	if s.openAI {
		_ = writeOpenAIProblem(s.writer, p)
		return
	}
	_ = p.Write(s.writer)
}

// completeProblem adds the request path, the request identifier and, if the
// problem has no step, this gateway as its origin.
func (s *session) completeProblem(p problem.Problem) problem.Problem {
	if p.Step == "" {
		p = p.WithLocation("gateway", s.gateway.settings.Name)
	}
	p.Instance = s.request.URL.Path
	return p.WithRequest(s.id)
}

// recordProblem logs and counts a problem that is sent to the caller.
func (s *session) recordProblem(p problem.Problem) {
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
	s.gateway.metrics.countRefusal(p.Outcome)
	s.gateway.log.Emit(event).Str("request_id", s.id).Str("account", name).Str("problem", p.Type).
		Str("outcome", p.Outcome).Str("step", p.Step).Str("peer", p.Peer).Str("detail", p.Detail).Send()
	trace.SpanFromContext(s.ctx).SetAttributes(attribute.String("outcome", p.Outcome), attribute.String("problem", p.Type))
}

// recordDecision records a decision for `flamingohold explain`.
func (s *session) recordDecision(step, peer, choice, reason string) {
	name := ""
	if s.account != nil {
		name = s.account.Name
	}
	s.gateway.decisions.Add(decisions.Record{
		Time: s.gateway.clock(), RequestID: s.id, Account: name, Step: step, Peer: peer, Choice: choice, Reason: reason,
	})
}

// recordRoute records the selection of an instance and its reported load.
func (s *session) recordRoute(i instance.Instance, reason string) {
	record := decisions.Record{
		Time: s.gateway.clock(), RequestID: s.id, Account: s.account.Name, Step: "route", Peer: i.Name, Choice: "offer", Reason: reason,
	}
	if report, known := s.gateway.router.LastReport(i.Name); known {
		record.Observations = []decisions.Observation{
			{Subject: i.Name, Name: "pressure", Value: report.Pressure()},
			{Subject: i.Name, Name: "free_memory", Value: report.FreeMemory},
		}
	}
	s.gateway.decisions.Add(record)
}

// countToken counts a delivered token and, for the first one, records its
// latency.
func (s *session) countToken(seq uint64) {
	m := s.gateway.metrics
	m.tokens.Inc(1)
	if seq == 1 {
		m.firstToken.RecordDuration(s.gateway.clock().Sub(s.receivedAt))
	}
}

// callerDisconnected reports whether the caller has disconnected.
func (s *session) callerDisconnected() bool { return s.ctx.Err() != nil || s.writer.Closed() }

// startAdmissionWait sets the deadline until which the request may wait for
// admission.
func (s *session) startAdmissionWait(admission time.Duration) {
	s.admissionTimeout = admission
	s.deadline = s.gateway.clock().Add(admission)
}

// remainingMillis returns the time until the admission deadline in milliseconds,
// at least 1.
func (s *session) remainingMillis() int64 {
	return max(1, s.deadline.Sub(s.gateway.clock()).Milliseconds())
}
