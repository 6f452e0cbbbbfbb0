package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/listener"
	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/hostsettings"
	"github.com/flamingohold/flamingohold/internal/process/refusallog"
	"github.com/flamingohold/flamingohold/internal/process/router/explanation"
	"github.com/flamingohold/flamingohold/internal/process/router/fleetview"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/process/router/peers"
	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
	"github.com/flamingohold/flamingohold/internal/process/router/ratepermit"
	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
	"github.com/flamingohold/flamingohold/internal/process/router/reporterclient"
	"github.com/flamingohold/flamingohold/internal/process/router/retrywindow"
	"github.com/flamingohold/flamingohold/internal/process/router/sendgate"
	"github.com/flamingohold/flamingohold/internal/process/router/sharedrate"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
	"github.com/flamingohold/flamingohold/internal/process/router/upstreampause"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/request/forwarding"
	"github.com/flamingohold/flamingohold/internal/request/headers"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

const (
	// dialTimeout bounds the opening of a connection to an upstream.
	dialTimeout = 700 * time.Millisecond
	// storeChangeDelay is the pause after a watch of the store returned changes.
	storeChangeDelay = 100 * time.Millisecond
	// idleSweepInterval is the time between two sweeps of idle connections to
	// upstreams.
	idleSweepInterval = time.Second
	// coldShare is the fraction of a cold upstream's rate that all routers together
	// use.
	coldShare = 0.8
	// minRouters is the minimum number of routers assumed to share that rate.
	minRouters = 3
	// unreadyPeriod is how long a stopping router still accepts connections, so
	// that the platform can observe that it is not ready.
	unreadyPeriod = 2500 * time.Millisecond
	// stopMargin is the part at the end of the shutdown notice in which the requests
	// that are still unanswered get an error response and the process exits.
	stopMargin = 300 * time.Millisecond
	// maxBodyBytes bounds a request body, whatever the route table allows.
	maxBodyBytes = 16 << 20
	// reservedDescriptors is the number of file descriptors that are not available
	// for callers' connections.
	reservedDescriptors = 1200
)

// storeLimits bound the calls to the store.
var storeLimits = upstreamclient.FetchLimits{
	Head: 700 * time.Millisecond, Stall: time.Second, Total: 10 * time.Second, MaxBytes: 64 << 20,
}

// Platform holds the platform-specific dependencies of a router.
type Platform struct {
	Settings hostsettings.Settings
	Headers  headers.Names
	Decoder  fleetview.Decoder
	// Store returns a client of the store that uses the fetcher, and CopyClient a
	// client of the engines that uses the pool and calls onLeaving with the address of
	// each engine that states that it is about to stop.
	Store      func(fetcher *upstreamclient.Fetcher) mirror.Store
	CopyClient func(pool *upstreamclient.Pool, onLeaving func(address string)) relocation.CopyClient
}

// Router is a process of the router role.
type Router struct {
	// settings are the settings at the start of the process. notice is the shutdown
	// notice in force, in nanoseconds.
	settings  hostsettings.Settings
	notice    atomic.Int64
	log       *eventlog.Log
	telemetry *telemetry.Telemetry
	refusals  *refusallog.Log
	clock     func() time.Time

	pool      *upstreamclient.Pool
	mirror    *mirror.Mirror
	follower  *mirror.Follower
	peers     *peers.Peers
	prompts   *promptblock.List
	stated    *statedlimit.Limits
	permits   *ratepermit.Permits
	pauses    *upstreampause.Pauses
	gate      *sendgate.Gate
	directory *directory.Directory
	view      *fleetview.View
	relocator *relocation.Relocator
	reporters *reporterclient.Client
	budget    *retrywindow.Budget
	platform  Platform
	// stop is nil until the process starts to stop.
	stop atomic.Pointer[forwarding.Stop]
}

// New returns a router that is not serving yet.
func New(p Platform, log *eventlog.Log, t *telemetry.Telemetry) (*Router, error) {
	s := p.Settings
	if s.CallerAddress == "" || s.ReadinessAddress == "" || s.PeerAddress == "" {
		return nil, errors.New("setting caller, readiness or peer address is empty, but a router requires all three")
	}
	r := &Router{settings: s, log: log, telemetry: t, clock: time.Now, platform: p}
	r.refusals = refusallog.New(log, t.Scope(), r.clock)
	r.pool = upstreamclient.New(upstreamclient.Options{DialTimeout: dialTimeout}, r.clock)
	r.directory = directory.New(log, r.coldRate)
	r.view = fleetview.New(p.Decoder, r.directory, log, func(*routetable.Table) {})
	r.mirror = mirror.New(r.view.Apply)
	r.prompts = promptblock.New(r.logPrompts)
	r.stated = statedlimit.New(r.isListed, r.logLimit)
	r.peers = peers.New(peers.Options{
		Address: s.PeerAddress, LinkMbps: s.LinkMbps, Seeds: s.Seeds, Mirror: r.mirror, Prompts: r.prompts, Limits: r.stated,
		Drains: r.directory, Pool: r.pool, Log: log, Scope: t.Scope(), Clock: r.clock,
	})
	r.permits = ratepermit.New(ratepermit.Options{
		Address: s.PeerAddress, Peers: r.peers, Limits: r.stated, Pool: r.pool, Log: log, Scope: t.Scope(), Clock: r.clock,
	})
	r.pauses = upstreampause.New()
	r.gate = sendgate.New(sendgate.Options{Directory: r.directory, Pauses: r.pauses, Limits: r.stated, Permits: r.permits, Clock: r.clock})
	r.follower = mirror.NewFollower(r.mirror, p.Store(upstreamclient.NewFetcher(r.pool, storeLimits)), log, r.clock, storeChangeDelay, r.peers.MustQueryStore)
	r.notice.Store(int64(s.ShutdownNotice))
	r.budget = retrywindow.New(retryBound(s), r.peers.Count)
	r.reporters = reporterclient.New(reporterclient.Options{
		Pool: r.pool, Directory: r.directory, Router: s.PeerAddress, DataCentre: s.DataCentre, HasReporters: r.hasReporters,
		Port: s.ReporterPort, Log: log, Clock: r.clock,
	})
	r.relocator = relocation.New(relocation.Options{
		CopyClient: p.CopyClient(r.pool, r.markLeaving), Directory: r.directory, Turns: r.reporters, Gate: r.gate, Log: log,
		Clock: r.clock, Random: rand.Float64, Engine: r.movableEngine,
	})
	return r, nil
}

// markLeaving records that the upstream at the address states that it is about to stop.
func (r *Router) markLeaving(address string) { r.directory.MarkLeavingAt(address, r.clock()) }

// logPrompts logs which parts of prompts are blocked or no longer blocked.
func (r *Router) logPrompts(c promptblock.Change) {
	for _, part := range c.Blocked {
		r.log.Emit(eventlog.PromptPartBlocked).Str("part", part).Int("crashes_known", c.Crashes).Send()
	}
	for _, part := range c.Cleared {
		r.log.Emit(eventlog.PromptPartCleared).Str("part", part).Int("crashes_known", c.Crashes).Send()
	}
}

// isListed reports whether the directory holds the incarnation of the upstream.
func (r *Router) isListed(u statedlimit.Upstream) bool {
	v, ok := r.directory.Upstream(u.ID, r.clock())
	return ok && v.Incarnation == u.Incarnation
}

// logLimit logs a changed limit of an upstream.
func (r *Router) logLimit(c statedlimit.Limit) {
	r.log.Emit(eventlog.UpstreamLimitChanged).Str("upstream", c.ID).Int64("incarnation", c.Incarnation).
		Bool("limited", c.Limited).Float64("per_second", c.PerSecond).Uint64("version", c.Version).Send()
}

func retryBound(s hostsettings.Settings) retrywindow.Bound {
	return retrywindow.Bound{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
}

// Reload applies changed settings. Changed addresses take effect only after a
// restart.
func (r *Router) Reload(s hostsettings.Settings) {
	r.peers.SetSeeds(s.Seeds)
	r.budget.SetBound(retryBound(s))
	r.notice.Store(int64(s.ShutdownNotice))
}

// coldRate returns this router's part of the rate of a cold upstream, in requests
// per second, and false if the rate is not bounded.
func (r *Router) coldRate(service, upstream string) (perSecond float64, bounded bool) {
	s := r.service(service)
	if s == nil || s.ColdRequestsPerSecond <= 0 {
		return 0, false
	}
	rank, routers := r.peers.Rank(upstream)
	return sharedrate.PerSecond(s.ColdRequestsPerSecond*coldShare, rank, max(minRouters, routers)), true
}

// service returns the service of the current route table, nil if there is none.
func (r *Router) service(name string) *routetable.Service {
	t := r.view.Table()
	if t == nil {
		return nil
	}
	return t.Service(name)
}

// hasReporters reports whether the upstreams of the service have reporters.
func (r *Router) hasReporters(service string) bool {
	s := r.service(service)
	return s != nil && s.Engine != nil
}

// movableEngine returns the engine settings of the service, nil if its
// generations cannot be moved.
func (r *Router) movableEngine(service string) *routetable.Engine {
	s := r.service(service)
	if s == nil || s.Engine == nil || !s.Engine.SupportsMove {
		return nil
	}
	return s.Engine
}

// Run serves until the context ends and then shuts down gracefully.
func (r *Router) Run(ctx context.Context) error {
	processCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	r.directory.OnDeparture(func(id string) { r.relocator.MoveAll(processCtx, id) })
	r.directory.OnSuspect(r.reporters.ShareSuspect)
	servers, callers, err := r.listen(processCtx)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){r.follower.Run, r.peers.Run, r.reporters.Run, r.sweepIdle} {
		running.Go(func() { loop(processCtx) })
	}
	r.log.Emit(eventlog.ProcessStarted).Str("role", "router").Str("callers", callers.Address()).
		Str("store", r.settings.StoreAddress).Strs("seeds", r.settings.Seeds).Send()
	<-ctx.Done()
	err = r.shutdown(callers)
	end()
	for _, s := range servers {
		err = errors.CombineErrors(err, s.Shutdown(endedContext()))
	}
	running.Wait()
	r.log.Emit(eventlog.ProcessStopped).Str("role", "router").Send()
	return err
}

// endedContext returns a context that has ended.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// listen opens the listeners. It returns the internal listeners, and the
// listener for callers.
func (r *Router) listen(processCtx context.Context) ([]*listener.Listener, *listener.Listener, error) {
	mux := http.NewServeMux()
	mux.Handle(peers.Path(), r.peers)
	mux.Handle(ratepermit.Path(), r.permits)
	forwarder := r.forwarder(processCtx)
	callers, err := listener.New(listener.Options{
		Address: r.settings.CallerAddress, MaxBodyBytes: maxBodyBytes, Limits: r.limits,
		MaxConnections: max(1, r.settings.MaxDescriptors-reservedDescriptors), OnPanic: r.panicked, OnRefusal: r.refusals.Record,
	}.WithMemory(r.settings.MemoryBytes), forwarder)
	if err != nil {
		return nil, nil, err
	}
	servers := []*listener.Listener{}
	for _, o := range []struct {
		address string
		handler http.Handler
	}{
		{r.settings.ReadinessAddress, http.HandlerFunc(r.serveReadiness)},
		{r.settings.PeerAddress, mux},
		{r.settings.MetricsAddress, r.inspection(forwarder)},
	} {
		options := listener.Options{Address: o.address, OnPanic: r.panicked, OnRefusal: r.refusals.Record}
		l, err := listener.New(options.WithMemory(r.settings.MemoryBytes), o.handler)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, l)
	}
	return servers, callers, nil
}

// inspection returns the handler for operators at the metrics address.
func (r *Router) inspection(f *forwarding.Forwarder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(explanation.Path, explanation.Handler(f.Explain))
	mux.Handle("/", r.telemetry.MetricsHandler())
	return mux
}

func (r *Router) forwarder(processCtx context.Context) *forwarding.Forwarder {
	return forwarding.New(forwarding.Options{
		Names: r.platform.Headers, DataCentre: r.settings.DataCentre, Table: r.view.Table,
		Directory: r.directory, Pool: r.pool, Budget: r.budget, Prompts: r.prompts, Limits: r.stated, Pauses: r.pauses, Gate: r.gate, Reservations: r.reporters,
		IsResponsible: r.peers.IsResponsible, Relocator: r.relocator, Log: r.log,
		Clock: r.clock, Metrics: forwarding.NewMetrics(r.telemetry.Scope()), Stopping: r.stopping, TimeUntilAvailable: r.peers.TimeUntilAvailable, ProcessContext: processCtx,
	})
}

// limits returns the current limits on callers.
func (r *Router) limits() listener.Limits {
	t := r.view.Table()
	if t == nil {
		return listener.Limits{}
	}
	l := t.Limits()
	return listener.Limits{MaxHeaderBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

func (r *Router) panicked(value any, stack []byte) {
	r.log.Emit(eventlog.HandlerPanicked).Interface("value", value).Bytes("stack", stack).Send()
}

// ready reports whether the router accepts new callers: it is not stopping and
// knows a route table and upstreams.
func (r *Router) ready() bool {
	return r.stop.Load() == nil && r.view.Table() != nil && r.directory.HasUpstreams()
}

// stopping returns the stop of the process, and false if it is not stopping.
func (r *Router) stopping() (forwarding.Stop, bool) {
	stop := r.stop.Load()
	if stop == nil {
		return forwarding.Stop{}, false
	}
	return *stop, true
}

func (r *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweepIdle closes idle connections until the context ends.
func (r *Router) sweepIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.pool.CloseIdle(r.clock())
		}
	}
}

// shutdown notifies the peers, stops accepting callers, and waits for the
// requests in progress until the notice ends.
func (r *Router) shutdown(callers *listener.Listener) error {
	start := r.clock()
	notice := time.Duration(r.notice.Load())
	end := start.Add(notice - stopMargin)
	r.stop.Store(&forwarding.Stop{Begin: start, End: end})
	r.log.Emit(eventlog.ProcessStopping).Dur("notice", notice).Send()
	callers.CloseAfterResponses()
	r.peers.Stop(context.Background(), end)
	time.Sleep(min(unreadyPeriod, notice/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		r.log.Emit(eventlog.ShutdownIncomplete).Err(err).Send()
	}
	return nil
}
