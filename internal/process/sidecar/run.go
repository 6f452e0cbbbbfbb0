package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/listener"
	"github.com/flamingohold/flamingohold/internal/process/admin"
	"github.com/flamingohold/flamingohold/internal/process/configwatch"
	"github.com/flamingohold/flamingohold/internal/process/decisions"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instancelist"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/request/generation"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	// keepInterval is the time between two rounds of dropping what is no longer
	// needed.
	keepInterval = time.Second
	// idleInterval is the time between two looks at the remaining work while the
	// process stops.
	idleInterval = 20 * time.Millisecond
	// stopReserve is the part of the notice that is kept for the hand-over and
	// the last answers, at most a quarter of it.
	stopReserve = 4 * time.Second
)

// New returns a sidecar with the settings. Run makes it serve.
func New(set *settings.Settings, log *eventlog.Log, tel *telemetry.Telemetry) (*Sidecar, error) {
	secret, err := set.PeerSecret()
	if err != nil {
		return nil, err
	}
	s, err := build(dependencies{
		settings:       set,
		secret:         secret,
		log:            log,
		telemetry:      tel,
		configurations: configwatch.New(configwatch.OptionsFrom(set, secret), log),
		clock:          time.Now,
	})
	if err != nil {
		return nil, err
	}
	if set.InstanceList != "" {
		s.instanceList = instancelist.New(set.InstanceList, log, s.learnInstances)
	}
	return s, nil
}

// Run serves until the context is cancelled, and then shuts down gracefully: it
// refuses new work, hands queued work back, finishes running work within the
// settings' notice and leaves the order ledger with a peer.
func (s *Sidecar) Run(ctx context.Context) error {
	peers, err := s.listen(s.settings.PeerAddress, s.handler())
	if err != nil {
		return err
	}
	operators, err := s.listen(s.settings.AdminAddress, s.adminHandler())
	if err != nil {
		return errors.CombineErrors(err, peers.Shutdown(ctx))
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s.startLoops(work)
	s.log.Emit(eventlog.ProcessStarted).Str("peer_address", peers.Address()).Str("admin_address", operators.Address()).Send()
	<-ctx.Done()
	return s.shutdown(work, peers, operators)
}

func (s *Sidecar) listen(address string, handler http.Handler) (*listener.Listener, error) {
	return listener.New(listener.FromSettings(s.settings, address), handler)
}

func (s *Sidecar) adminHandler() http.Handler {
	ready := func() bool {
		phase, _ := s.phase()
		return phase == load.PhaseReady
	}
	a := admin.New(ready, s.drain, s.telemetry.MetricsHandler())
	a.Handle("GET "+decisions.Path, s.decisions.Handler())
	return a
}

// drain refuses new work from now on. The process goes on until it is stopped.
func (s *Sidecar) drain() {
	if s.health.drain() {
		s.log.Emit(eventlog.SidecarLeaving).Str("reason", "drain").Send()
		s.signal()
	}
}

// shutdown finishes the work. The context is that of the loops, which go on
// meanwhile: queued work is handed back and streams are continued.
func (s *Sidecar) shutdown(work context.Context, listeners ...*listener.Listener) error {
	s.log.Emit(eventlog.ProcessStopping).Send()
	s.drain()
	bound, release := s.notice(work, 0)
	defer release()
	finishing, releaseFinishing := s.notice(work, s.stopReserve())
	defer releaseFinishing()
	s.awaitIdle(finishing)
	s.handOver(bound)
	var err error
	for _, l := range listeners {
		err = errors.CombineErrors(err, l.Shutdown(bound))
	}
	s.log.Emit(eventlog.ProcessStopped).Err(err).Send()
	return errors.Wrap(err, "shut down sidecar")
}

// notice returns a context that ends the given time before the platform's
// notice, or never if there is none.
func (s *Sidecar) notice(ctx context.Context, reserve time.Duration) (context.Context, context.CancelFunc) {
	if s.settings.ShutdownNoticeMillis <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.noticeDuration()-reserve)
}

func (s *Sidecar) noticeDuration() time.Duration {
	return time.Duration(s.settings.ShutdownNoticeMillis) * time.Millisecond
}

func (s *Sidecar) stopReserve() time.Duration { return min(stopReserve, s.noticeDuration()/4) }

// awaitIdle waits until no attempt is queued or running and every generation was
// read to its end, or has had no reader for the grace.
func (s *Sidecar) awaitIdle(ctx context.Context) {
	for !s.idle() && pause.For(ctx, idleInterval) {
	}
}

func (s *Sidecar) idle() bool {
	if len(s.jobs.all()) > 0 {
		return false
	}
	for _, g := range s.runs.all() {
		if !g.finished() {
			return false
		}
	}
	return true
}

// finished reports whether nobody needs the generation any more.
func (g *run) finished() bool {
	state, _, _ := g.log.State()
	return state == generation.StateFailed || state == generation.StateEnded && g.delivered.Load()
}

// startLoops starts the work that runs until the context ends.
func (s *Sidecar) startLoops(ctx context.Context) {
	go func() { _ = s.configurations.Run(ctx) }()
	if s.instanceList != nil {
		go func() { _ = s.instanceList.Run(ctx) }()
	}
	go s.dispatchLoop(ctx)
	go s.watchUpstream(ctx)
	go s.watchInstances(ctx)
	go s.keepLoop(ctx)
	go s.takeLoop(ctx)
	go s.placeLoop(ctx)
}

func (s *Sidecar) keepLoop(ctx context.Context) {
	for pause.For(ctx, keepInterval) {
		now := s.clock()
		s.reap(now)
		s.noteResets()
		s.measure()
		lifetime := service.DefaultKeyLifetime
		if svc := s.service(); svc != nil {
			lifetime = svc.KeyLifetime()
		}
		s.ledger.DeleteExpired(lifetime, now)
	}
}

// noteResets logs that admission returned to the limits of a cold upstream.
func (s *Sidecar) noteResets() {
	st := s.stage.Load()
	if st == nil {
		return
	}
	if resets := st.controller.Resets(); resets != st.resets.Swap(resets) {
		s.log.Emit(eventlog.AdmissionReset).Str("peer", s.settings.UpstreamAddress).Uint64("resets", resets).Send()
	}
}

// measure updates the gauges.
func (s *Sidecar) measure() {
	r := s.report()
	scope := s.telemetry.Scope()
	scope.Gauge("running").Update(float64(r.Running))
	scope.Gauge("queued").Update(float64(r.Queued))
	scope.Gauge("admission_limit").Update(float64(r.Limit))
	scope.Gauge("free_memory").Update(r.FreeMemory)
	scope.Gauge("ledger_records").Update(float64(s.ledger.Len()))
	scope.Gauge("generations").Update(float64(len(s.runs.all())))
}
