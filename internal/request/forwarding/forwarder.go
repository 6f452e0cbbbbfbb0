package forwarding

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/exchange"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/relocation"
	"github.com/flamingohold/flamingohold/internal/process/repeatbudget"
	"github.com/flamingohold/flamingohold/internal/request/headers"
	"github.com/flamingohold/flamingohold/internal/version/route"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// defaultTimeout bounds a request whose route and caller name no time.
const defaultTimeout = 60 * time.Second

// errTimeout is the cause of a context whose time is up.
var errTimeout = errors.New("the time of the request is up")

// Relocator moves running generations.
type Relocator interface {
	Begin(ctx context.Context, r *relocation.Run)
	Moved(ctx context.Context, r *relocation.Run, target directory.View)
	End(r *relocation.Run)
}

// Options are the dependencies of a forwarder.
type Options struct {
	Names      headers.Names
	DataCentre string
	// Table returns the table in force, nil before the first one.
	Table     func() *routetable.Table
	Directory *directory.Directory
	Pool      *exchange.Pool
	Budget    *repeatbudget.Budget
	Relocator Relocator
	Log       *eventlog.Log
	Clock     func() time.Time
	Metrics   *Metrics
	// Stopping returns when the process ends, if it has begun to stop.
	Stopping func() (end time.Time, stopping bool)
	// Return returns after how long another router serves long requests, once
	// this one stops.
	Return func(now time.Time) time.Duration
	// Process is the life of the process: work outside a request ends with it.
	Process context.Context //nolint:containedctx // it outlives every request
}

// Forwarder is the handler of the callers' requests. It is safe for concurrent
// use.
type Forwarder struct{ Options }

// New returns a forwarder.
func New(o Options) *Forwarder { return &Forwarder{Options: o} }

// call is one request of a caller.
type call struct {
	*Forwarder
	w  http.ResponseWriter
	r  *http.Request
	id string
	// table is the version by which the request is served.
	table   *routetable.Table
	route   *route.Route
	service *routetable.Service
	account string
	// header and body are what upstreams get.
	header   http.Header
	body     []byte
	sizes    headers.Sizes
	received time.Time
	// deadline is when the caller gets a final answer at the latest.
	deadline time.Time
	// callerDeadline is when the caller stops waiting.
	callerDeadline time.Time
	// sends counts the upstreams that got the request, misaddressed those whose
	// address another upstream has, and unsent those that were not reached.
	sends, misaddressed, unsent int
	// mayHaveRun is true unless all upstreams that got the request state that
	// they did not run it.
	mayHaveRun bool
	// tried holds the upstreams that were tried.
	tried map[string]bool
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
	c.Budget.Request(c.service.Name, c.received)
	if c.route.Kind == route.Streaming {
		c.serveStream(ctx)
		return
	}
	c.servePlain(ctx)
}

// prepare finds out how the request is to be served, or why not.
func (c *call) prepare() *refusal {
	c.table = c.Table()
	if c.table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no_routes_known", retryAfter: startRetryAfter}
	}
	if c.route = c.table.Route(c.r.Host, c.r.URL.Path); c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	if refused := c.authenticate(); refused != nil {
		return refused
	}
	c.service = c.table.Service(c.route.Service(rand.Float64()))
	if c.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "service_unknown", retryAfter: startRetryAfter}
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
	c.setDeadlines()
	return c.refuseUnfinishable()
}

const (
	// tokenTime is the time in which a crowded engine makes a token, and
	// readingTime that in which it reads a prompt.
	tokenTime   = 10 * time.Millisecond
	readingTime = time.Second
	// stopMargin is kept clear before the end of a stopping process.
	stopMargin = 500 * time.Millisecond
)

// refuseUnfinishable refuses a request that would not end before the process
// does: another router can serve it whole.
func (c *call) refuseUnfinishable() *refusal {
	end, stopping := c.Stopping()
	if !stopping {
		return nil
	}
	last := c.deadline
	if c.route.Kind == route.Streaming && c.sizes.MaxOutput > 0 {
		longest := c.received.Add(readingTime + time.Duration(c.sizes.MaxOutput)*tokenTime)
		if longest.Before(last) {
			last = longest
		}
	}
	if last.Before(end.Add(-stopMargin)) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stoppingRetryAfter + c.Return(c.received)}
}

func (c *call) authenticate() *refusal {
	account, known := c.table.Account(headers.Key(c.r.Header))
	if known {
		c.account = account.Name
		return nil
	}
	if c.table.NeedsKey(c.route) {
		return &refusal{status: http.StatusUnauthorized, reason: "key_unknown"}
	}
	return nil
}

func (c *call) setDeadlines() {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.received.Add(timeout)
	c.callerDeadline = c.deadline
	if left, ok := c.Names.TimeLeft(c.r.Header); ok {
		c.callerDeadline = c.received.Add(left)
		if c.callerDeadline.Before(c.deadline) {
			c.deadline = c.callerDeadline
		}
	}
}

// memoryTokens returns the memory of one engine, 0 for a plain service.
func (c *call) memoryTokens() int {
	if c.service.Engine == nil {
		return 0
	}
	return c.service.Engine.MemoryTokens
}

// request returns the request for the upstream, with the time that is left.
func (c *call) request(v directory.View, now time.Time) *exchange.Request {
	header := c.header.Clone()
	c.Names.SetTimeLeft(header, c.deadline.Sub(now))
	header.Set(c.Names.ExpectUpstream, v.ID)
	return &exchange.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
		IsAnswer:    c.isAnswer,
		MustBeFresh: !c.route.MayRepeat(),
	}
}

// isAnswer reports whether the header is not that of an answer to another
// request.
func (c *call) isAnswer(h http.Header) bool {
	id := h.Get(c.Names.RequestID)
	return id == "" || id == c.id
}
