package forwarding

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
	"github.com/flamingohold/flamingohold/internal/process/router/dispatch"
	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
	"github.com/flamingohold/flamingohold/internal/process/router/retrywindow"
	"github.com/flamingohold/flamingohold/internal/process/router/sendgate"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
	"github.com/flamingohold/flamingohold/internal/process/router/upstreampause"
	"github.com/flamingohold/flamingohold/internal/process/router/waitqueue"
	"github.com/flamingohold/flamingohold/internal/request/headers"
	"github.com/flamingohold/flamingohold/internal/version/route"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// defaultTimeout bounds a request whose route and caller set no timeout.
const defaultTimeout = 60 * time.Second

// errTimeout is the cause of a context that exceeded the request's deadline.
var errTimeout = errors.New("request deadline exceeded")

// Relocator moves running generations between upstreams.
type Relocator interface {
	// Begin starts tracking a run that its upstream executes.
	Begin(ctx context.Context, r *relocation.Run)
	// RecordMove records that the run has resumed at the target.
	RecordMove(ctx context.Context, r *relocation.Run, target directory.View)
	// End stops tracking the run, which has ended.
	End(r *relocation.Run)
}

// Gate decides whether requests may be sent to upstreams.
type Gate interface {
	// Acquire returns whether a request may be sent to the upstream. It waits for a
	// permit for as long as maxWait returns.
	Acquire(ctx context.Context, v directory.View, maxWait func() time.Duration) sendgate.Decision
	// PauseLeft returns the time until the upstream wants requests again.
	PauseLeft(v directory.View) time.Duration
	// Confirm returns an error if the chosen upstream must not get the request any
	// more, and ConfirmReturn if a run must not continue at the upstream that holds it.
	Confirm(v directory.View) error
	ConfirmReturn(v directory.View) error
}

// Reservations reserves room at engines, so that routers which choose by the same
// report do not allocate the same capacity twice.
type Reservations interface {
	// Reserve asks for room at the upstream. A decision without an answer of the
	// upstream's reporter is granted, and marked as unconfirmed.
	Reserve(ctx context.Context, v directory.View, r reservation.Request) reservation.Decision
	// ReleaseReservation ends the reservation of the request with the identifier.
	ReleaseReservation(v directory.View, id string)
}

// Options are the dependencies of a forwarder.
type Options struct {
	Names      headers.Names
	DataCentre string
	// Table returns the current route table, nil before the first one is loaded.
	Table     func() *routetable.Table
	Directory *directory.Directory
	Pool      *upstreamclient.Pool
	Budget    *retrywindow.Budget
	// Prompts holds the evidence on prompts that end engines. IsResponsible reports
	// whether this router acts for all routers on a matter.
	Prompts *promptblock.List
	// Limits holds the rate limits that upstreams state.
	Limits *statedlimit.Limits
	// Pauses holds the pauses that upstreams ask for.
	Pauses *upstreampause.Pauses
	Gate   Gate
	// Reservations is nil if requests are sent without reservations, ranks and waits.
	Reservations Reservations
	// Queue holds the requests that wait, nil for a queue with the default bounds.
	Queue *waitqueue.Queue
	// Headroom is the share of an engine's memory that must stay free beside a request
	// that can wait, 0 for the default.
	Headroom      float64
	IsResponsible func(name string) bool
	Relocator     Relocator
	Log           *eventlog.Log
	Clock         func() time.Time
	Metrics       *Metrics
	// Stopping returns the stop of the process, and false if it is not stopping.
	Stopping func() (Stop, bool)
	// TimeUntilAvailable returns the time until a router accepts long requests
	// again: another one, or this one after its restart.
	TimeUntilAvailable func(now time.Time) time.Duration
	// ProcessContext is cancelled when the process exits, and with it all work
	// outside a request.
	ProcessContext context.Context //nolint:containedctx // it outlives every request
}

// Forwarder is the HTTP handler for callers' requests. It is safe for
// concurrent use.
type Forwarder struct {
	Options
	// policy is the policy of the route table that the last request used.
	policy atomic.Pointer[tablePolicy]
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	if o.Queue == nil {
		o.Queue = waitqueue.New(waitqueue.Bounds{})
	}
	if o.Headroom <= 0 {
		o.Headroom = dispatch.DefaultHeadroom
	}
	return &Forwarder{Options: o}
}

// call is one request of a caller.
type call struct {
	*Forwarder
	w  http.ResponseWriter
	r  *http.Request
	id string
	// table is the version of the route table that serves the request.
	table   *routetable.Table
	route   *route.Route
	service *routetable.Service
	account string
	// accountPriority is the priority of the account, nil if it has none.
	accountPriority *int
	// header and body are sent to upstreams.
	header http.Header
	body   []byte
	sizes  headers.Sizes
	// parts are the parts of the prompt that other requests may share.
	parts    []string
	received time.Time
	// deadline is the latest time of a final answer to the caller.
	deadline time.Time
	// callerDeadline is when the caller stops waiting.
	callerDeadline time.Time
	// sends counts the upstreams that received the request, misaddressed the
	// upstreams whose address now belongs to another one, and unsent the
	// upstreams that could not be reached.
	sends, misaddressed, unsent int
	// mayHaveRun is true unless every upstream that received the request stated
	// that it did not run it.
	mayHaveRun bool
	// tried is the set of upstreams that were chosen before.
	tried map[string]bool
	// sendableIn is the shortest time until an upstream to which the request was not
	// sent may get it, 0 if there is none.
	sendableIn time.Duration
	// paused is the number of upstreams that have asked for a pause.
	paused int
	// admitsAt holds when upstreams that refused the request for a limit or a pause may
	// admit it, nil if there is none.
	admitsAt map[string]time.Time
	// dispatch is how the request is dispatched, rank the rank that its upstream gets.
	dispatch dispatch.Decision
	rank     int
	// reservation is the state of the reservations of the present attempt.
	reservation reservationState
	// rejection is why the request is refused without a further attempt, nil if it is
	// not.
	rejection *refusal
	// waited is the time that the request has spent in the queue before this attempt.
	waited time.Duration
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Forwarder: f, w: w, r: r, received: f.Clock(), tried: make(map[string]bool)}
	c.id = r.Header.Get(f.Names.RequestID)
	if refused := c.prepare(); refused != nil {
		c.refuse(*refused)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errTimeout)
	defer cancel()
	c.Budget.RecordRequest(c.service.Name, c.received)
	if c.route.Kind == route.Streaming {
		c.serveStream(ctx)
		return
	}
	c.servePlain(ctx)
}

// prepare sets the fields that serving the request needs, or returns why it
// cannot be served.
func (c *call) prepare() *refusal {
	if refused := c.findRoute(c.r.Host, c.r.URL.Path); refused != nil {
		return refused
	}
	if refused := c.admitAccount(c.table.Account(headers.Key(c.r.Header))); refused != nil {
		return refused
	}
	if refused := c.findService(c.route.PickService(rand.Float64())); refused != nil {
		return refused
	}
	body, err := io.ReadAll(c.r.Body)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body_unreadable", err: err}
	}
	if limit := c.table.Limits().MaxBodyBytes; limit > 0 && len(body) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	c.body = body
	c.header = c.Names.Forward(c.r.Header)
	if c.account != "" {
		c.header.Set(c.Names.Account, c.account)
	}
	c.sizes = c.Names.Tokens(c.r.Header)
	c.parts = c.Names.SharedParts(c.r.Header)
	c.setDeadlines()
	if refused := c.refuseUnfinishable(c.received); refused != nil {
		return refused
	}
	if refused := c.refuseBlocked(); refused != nil {
		return refused
	}
	return c.decideDispatch()
}

// findRoute sets the route of the host and the path in the current table.
func (c *call) findRoute(host, path string) *refusal {
	c.table = c.Table()
	if c.table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no_routes_known", retryAfter: startRetryAfter}
	}
	if c.route = c.table.Route(host, path); c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	return nil
}

func (c *call) findService(name string) *refusal {
	if c.service = c.table.Service(name); c.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "service_unknown", retryAfter: startRetryAfter}
	}
	return nil
}

// admitAccount sets the account, if it is known, or returns why the request is refused
// without one.
func (c *call) admitAccount(account routetable.Account, known bool) *refusal {
	if known {
		c.account, c.accountPriority = account.Name, account.Priority
		return nil
	}
	if c.table.RequiresKey(c.route) {
		return &refusal{status: http.StatusUnauthorized, reason: "key_unknown"}
	}
	return nil
}

// setRouteDeadline sets the deadlines of a caller that states none.
func (c *call) setRouteDeadline() {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.received.Add(timeout)
	c.callerDeadline = c.deadline
}

func (c *call) setDeadlines() {
	c.setRouteDeadline()
	if left, ok := c.Names.TimeLeft(c.r.Header); ok {
		c.callerDeadline = c.received.Add(left)
		if c.callerDeadline.Before(c.deadline) {
			c.deadline = c.callerDeadline
		}
	}
}

// memoryTokens returns the memory of one engine in tokens, 0 for a plain
// service.
func (c *call) memoryTokens() int {
	if c.service.Engine == nil {
		return 0
	}
	return c.service.Engine.MemoryTokens
}

// outputEvents returns the number of events that the answer is expected to have, 0
// for unknown and for a plain service.
func (c *call) outputEvents() int {
	if c.service.Engine == nil {
		return 0
	}
	return c.sizes.Output / max(1, c.service.Engine.EventTokens)
}

// request returns the request for the upstream, with the time left at now.
func (c *call) request(v directory.View, now time.Time) *upstreamclient.Request {
	header := c.header.Clone()
	c.Names.SetTimeLeft(header, c.deadline.Sub(now))
	header.Set(c.Names.ExpectUpstream, v.ID)
	if c.dispatch.Enabled {
		c.Names.SetPriority(header, c.rank)
	}
	return &upstreamclient.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
		ID:         c.id,
		AnsweredID: c.Names.AnsweredID,
		BeforeSend: func() error { return c.Gate.Confirm(v) },

		MustBeFresh: !c.route.Repeatable(),
	}
}
