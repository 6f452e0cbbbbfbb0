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
	"github.com/flamingohold/flamingohold/internal/process/refusallog"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/request/tokenlog"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	// maintenanceInterval is the time between two rounds of deleting expired state
	// and updating the gauges.
	maintenanceInterval = time.Second
	// idleInterval is the time between two checks for remaining work while the
	// process stops.
	idleInterval = 20 * time.Millisecond
	// stopReserve is the part of the shutdown notice that is reserved for the
	// hand-over and the last responses; at most a quarter of the notice is used.
	stopReserve = 4 * time.Second
)

// New returns a sidecar with the settings. It serves requests once Run is
// called.
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
		configurations: configwatch.New(configwatch.OptionsFromSettings(set, secret), log),
		clock:          time.Now,
	})
	if err != nil {
		return nil, err
	}
	if set.InstanceList != "" {
		s.instanceListReader = instancelist.New(set.InstanceList, log, s.setInstances)
	}
	return s, nil
}

// Run serves until the context is cancelled, and then shuts down gracefully: it
// refuses new work, revokes queued work, which is reported as not run, finishes
// running work within the shutdown notice of the settings, and hands the order
// ledger over to a peer.
func (s *Sidecar) Run(ctx context.Context) error {
	peerListener, err := s.listen(s.settings.PeerAddress, s.handler())
	if err != nil {
		return err
	}
	adminListener, err := s.listen(s.settings.AdminAddress, s.adminHandler())
	if err != nil {
		return errors.CombineErrors(err, peerListener.Shutdown(ctx))
	}
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s.startLoops(loopCtx)
	s.log.Emit(eventlog.ProcessStarted).Str("peer_address", peerListener.Address()).Str("admin_address", adminListener.Address()).Send()
	<-ctx.Done()
	return s.shutdown(loopCtx, peerListener, adminListener)
}

func (s *Sidecar) listen(address string, handler http.Handler) (*listener.Listener, error) {
	o := listener.OptionsFromSettings(s.settings, address)
	o.OnRefusal = refusallog.New(s.log, s.telemetry.Scope(), s.clock).Record
	return listener.New(o, handler)
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

// drain makes the sidecar refuse new work. The process runs until it is stopped.
func (s *Sidecar) drain() {
	if s.health.drain() {
		s.log.Emit(eventlog.SidecarLeaving).Str("reason", "drain").Send()
		s.signal()
	}
}

// shutdown finishes running work, hands the ledger over and closes the
// listeners. loopCtx is the context of the loops, which keep running meanwhile,
// so that queued work is revoked and streams can be resumed.
func (s *Sidecar) shutdown(loopCtx context.Context, listeners ...*listener.Listener) error {
	s.log.Emit(eventlog.ProcessStopping).Send()
	s.drain()
	stopCtx, cancelStop := s.noticeContext(loopCtx, 0)
	defer cancelStop()
	finishCtx, cancelFinish := s.noticeContext(loopCtx, s.stopReserve())
	defer cancelFinish()
	s.awaitIdle(finishCtx)
	s.handOver(stopCtx)
	var err error
	for _, l := range listeners {
		err = errors.CombineErrors(err, l.Shutdown(stopCtx))
	}
	s.log.Emit(eventlog.ProcessStopped).Err(err).Send()
	return errors.Wrap(err, "shut down sidecar")
}

// noticeContext returns a context that times out when only the reserve is left
// of the platform's shutdown notice. It has no timeout if the settings contain
// no notice.
func (s *Sidecar) noticeContext(ctx context.Context, reserve time.Duration) (context.Context, context.CancelFunc) {
	if s.settings.ShutdownNoticeMillis <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.noticeDuration()-reserve)
}

func (s *Sidecar) noticeDuration() time.Duration {
	return time.Duration(s.settings.ShutdownNoticeMillis) * time.Millisecond
}

func (s *Sidecar) stopReserve() time.Duration { return min(stopReserve, s.noticeDuration()/4) }

// awaitIdle waits until no attempt is queued or running and every generation has
// failed, was read to its end, or was removed because it had no reader for the
// grace period.
func (s *Sidecar) awaitIdle(ctx context.Context) {
	for !s.idle() && pause.For(ctx, idleInterval) {
	}
}

func (s *Sidecar) idle() bool {
	if len(s.jobs.all()) > 0 {
		return false
	}
	for _, g := range s.generations.all() {
		if !g.finished() {
			return false
		}
	}
	return true
}

// finished reports whether the generation failed or was read to its end.
func (g *generationRun) finished() bool {
	state, _, _ := g.log.State()
	return state == tokenlog.StateFailed || state == tokenlog.StateEnded && g.delivered.Load()
}

// startLoops starts the background loops, which run until the context ends.
func (s *Sidecar) startLoops(ctx context.Context) {
	go func() { _ = s.configurations.Run(ctx) }()
	if s.instanceListReader != nil {
		go func() { _ = s.instanceListReader.Run(ctx) }()
	}
	go s.dispatchLoop(ctx)
	go s.watchUpstream(ctx)
	go s.watchInstances(ctx)
	go s.maintenanceLoop(ctx)
	go s.takeLoop(ctx)
	go s.placeLoop(ctx)
}

func (s *Sidecar) maintenanceLoop(ctx context.Context) {
	for pause.For(ctx, maintenanceInterval) {
		now := s.clock()
		s.reapGenerations(now)
		s.logResets()
		s.updateGauges()
		lifetime := service.DefaultKeyLifetime
		if svc := s.service(); svc != nil {
			lifetime = svc.KeyLifetime()
		}
		s.ledger.DeleteExpired(lifetime, now)
	}
}

// logResets logs that admission returned to the limits for a cold upstream.
func (s *Sidecar) logResets() {
	sched := s.scheduler.Load()
	if sched == nil {
		return
	}
	if resets := sched.controller.Resets(); resets != sched.resets.Swap(resets) {
		s.log.Emit(eventlog.AdmissionReset).Str("peer", s.settings.UpstreamAddress).Uint64("resets", resets).Send()
	}
}

func (s *Sidecar) updateGauges() {
	r := s.report()
	scope := s.telemetry.Scope()
	scope.Gauge("running").Update(float64(r.Running))
	scope.Gauge("queued").Update(float64(r.Queued))
	scope.Gauge("admission_limit").Update(float64(r.Limit))
	scope.Gauge("free_memory").Update(r.FreeMemory)
	scope.Gauge("ledger_records").Update(float64(s.ledger.Len()))
	scope.Gauge("generations").Update(float64(len(s.generations.all())))
}
