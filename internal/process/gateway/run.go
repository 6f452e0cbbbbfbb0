package gateway

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/listener"
	"github.com/flamingohold/flamingohold/internal/connection/sidecarclient"
	"github.com/flamingohold/flamingohold/internal/process/admin"
	"github.com/flamingohold/flamingohold/internal/process/configwatch"
	"github.com/flamingohold/flamingohold/internal/process/decisions"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instancelist"
	"github.com/flamingohold/flamingohold/internal/process/refusallog"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// New returns a gateway with the settings. Run opens its listeners.
func New(s *settings.Settings, log *eventlog.Log, t *telemetry.Telemetry) (*Gateway, error) {
	secret, err := s.PeerSecret()
	if err != nil {
		return nil, err
	}
	g, err := newGateway(dependencies{
		settings:       s,
		secret:         secret,
		log:            log,
		telemetry:      t,
		configurations: configwatch.New(configwatch.OptionsFromSettings(s, secret), log),
		links:          sidecarclient.New(secret, s.PeerAddress, t.Inject),
		clock:          time.Now,
	})
	if err != nil {
		return nil, err
	}
	g.instanceList = instancelist.New(s.InstanceList, log, g.setInstances)
	return g, nil
}

// Run serves until the context is cancelled or an operator requests a drain, and
// then shuts down gracefully: it stops accepting connections and lets running
// requests finish within the shutdown notice of the settings.
func (g *Gateway) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var listeners []*listener.Listener
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{g.settings.CallerAddress, g.callerHandler()},
		{g.settings.PeerAddress, g.peerHandler()},
		{g.settings.AdminAddress, g.adminHandler()},
	} {
		opened, err := g.listen(l.address, l.handler)
		if err != nil {
			return errors.CombineErrors(err, shutDownListeners(ctx, listeners))
		}
		listeners = append(listeners, opened)
	}
	g.startLoops(workCtx)
	g.log.Emit(eventlog.ProcessStarted).Str("caller_address", listeners[0].Address()).
		Str("peer_address", listeners[1].Address()).Str("admin_address", listeners[2].Address()).Send()
	select {
	case <-ctx.Done():
	case <-g.drainRequested:
	}
	return g.shutdown(workCtx, listeners)
}

func (g *Gateway) listen(address string, handler http.Handler) (*listener.Listener, error) {
	o := listener.OptionsFromSettings(g.settings, address)
	o.OnRefusal = refusallog.New(g.log, g.telemetry.Scope(), g.clock).Record
	o.OnPanic = func(value any, stack []byte) {
		g.log.Emit(eventlog.GatewayPanicked).Interface("panic", value).Bytes("stack", stack).Send()
	}
	return listener.New(o, handler)
}

func (g *Gateway) startLoops(ctx context.Context) {
	go func() { _ = g.configurations.Run(ctx) }()
	if g.instanceList != nil {
		go func() { _ = g.instanceList.Run(ctx) }()
	}
	go g.quotaExchange.Run(ctx)
	go g.probeLoop(ctx)
}

// shutdown shuts down the listeners in order, so that callers' requests finish
// before the peer and admin listeners close.
func (g *Gateway) shutdown(ctx context.Context, listeners []*listener.Listener) error {
	g.draining.Store(true)
	g.log.Emit(eventlog.ProcessStopping).Send()
	noticeCtx, cancel := g.shutdownContext(ctx)
	defer cancel()
	err := shutDownListeners(noticeCtx, listeners)
	g.background.Wait()
	g.log.Emit(eventlog.ProcessStopped).Err(err).Send()
	return errors.Wrap(err, "shut down gateway")
}

// shutdownContext returns a context that ends when the shutdown notice of the
// settings has passed. Without a notice it has no deadline.
func (g *Gateway) shutdownContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if g.settings.ShutdownNoticeMillis <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(g.settings.ShutdownNoticeMillis)*time.Millisecond)
}

func shutDownListeners(ctx context.Context, listeners []*listener.Listener) error {
	var err error
	for _, l := range listeners {
		err = errors.CombineErrors(err, l.Shutdown(ctx))
	}
	return err
}

func (g *Gateway) adminHandler() http.Handler {
	ready := func() bool { return g.configurations.Current() != nil && !g.draining.Load() }
	drain := func() {
		if g.draining.CompareAndSwap(false, true) {
			close(g.drainRequested)
		}
	}
	a := admin.New(ready, drain, g.telemetry.MetricsHandler())
	a.Handle("GET "+decisions.Path, g.decisions.Handler())
	return a
}

// peerHandler returns the handler of the peer listener, which requires the peer
// secret.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.report())
	})
	mux.Handle("GET /v1/configuration/", g.configurations.Handler())
	mux.Handle("POST /v1/demand", g.quotaExchange)
	want := []byte("Bearer " + g.secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			_ = problem.Rejected("wrong_secret", http.StatusUnauthorized, "the peer secret is missing or wrong").Write(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
