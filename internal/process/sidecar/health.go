package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/connection/engine"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	// probeInterval is the time between two probes of the upstream, and between two
	// evaluations of the instance list.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = 2 * time.Second
	// failuresUntilDown is the number of consecutive failed probes after which the
	// upstream counts as down. A single probe can fail under load.
	failuresUntilDown = 3
)

// health holds the state of the upstream and whether the instance is leaving. It
// is safe for concurrent use.
type health struct {
	mu sync.Mutex
	// up is true while the upstream responds to probes.
	up bool
	// failures is the number of consecutive failed probes.
	failures int
	// startSeconds is the start time of the engine's process in Unix seconds, which
	// identifies the process; 0 if unknown.
	startSeconds float64
	// draining is true after a stop or a drain was requested.
	draining bool
	// markedLeaving is true after the instance list showed the instance as leaving
	// or replaced, or the engine refused its control requests. Like draining, it is
	// never reset, because a later read of the list can return an older state.
	markedLeaving bool
}

// observe records the result of a probe. It returns whether the upstream is up,
// and whether it may have been restarted since it last responded to a probe.
func (h *health) observe(responded bool, startSeconds float64) (up, restarted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !responded {
		h.failures++
		h.up = h.up && h.failures < failuresUntilDown
		return h.up, false
	}
	restarted = h.failures >= failuresUntilDown || (h.startSeconds != 0 && h.startSeconds != startSeconds)
	h.failures = 0
	h.up = true
	h.startSeconds = startSeconds
	return true, restarted
}

// drain sets draining and reports whether it was not set before.
func (h *health) drain() (first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first = !h.draining
	h.draining = true
	return first
}

// markLeaving sets markedLeaving and reports whether it was not set before.
func (h *health) markLeaving() (first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first = !h.markedLeaving
	h.markedLeaving = true
	return first
}

func (h *health) leaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining || h.markedLeaving
}

func (h *health) isUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// phase returns the sidecar's phase and, unless it is ready, the reason.
func (s *Sidecar) phase() (phase, reason string) {
	c := s.configurations.Current()
	switch {
	case s.health.leaving():
		return load.PhaseLeaving, "the instance is leaving"
	case c == nil:
		return load.PhaseStarting, "there is no configuration yet"
	case !c.Fleet.InService(s.settings.DataCentre):
		return load.PhaseLeaving, "the data centre is out of service"
	case c.Service(s.settings.Service) == nil:
		return load.PhaseStarting, "the service is not configured"
	case !s.health.isUp() || s.scheduler.Load() == nil:
		return load.PhaseStarting, "the upstream does not answer"
	}
	return load.PhaseReady, ""
}

// report returns the current load report.
func (s *Sidecar) report() load.Report {
	now := s.clock()
	phase, _ := s.phase()
	r := load.Report{
		Instance:    s.settings.Instance,
		Incarnation: s.ledger.Binding(now),
		DataCentre:  s.settings.DataCentre,
		Phase:       phase,
		FreeMemory:  1,
	}
	if c := s.configurations.Current(); c != nil {
		r.ConfigurationVersion, r.ConfigurationHash = c.Version, c.Hash
	}
	if sched := s.scheduler.Load(); sched != nil {
		r.Running = sched.controller.Running()
		r.Queued = sched.queue.Len()
		r.Limit = sched.controller.Limit(now)
		r.FreeMemory = sched.controller.FreeMemory()
		r.StepMillis = sched.controller.StepMillis()
	}
	return r
}

// reporter returns a function that returns the load report for the next frame
// of a response. The function returns nil if a report was sent to the requester
// less than one report interval ago.
func (s *Sidecar) reporter(r *http.Request) func() *load.Report {
	peer := r.Header.Get(attempt.PeerHeader)
	return func() *load.Report {
		if !s.reportLimit.Allow(peer, s.clock()) {
			return nil
		}
		report := s.report()
		return &report
	}
}

// watchUpstream probes the upstream until the context ends.
func (s *Sidecar) watchUpstream(ctx context.Context) {
	s.probe(ctx)
	for pause.For(ctx, probeInterval) {
		s.probe(ctx)
	}
}

func (s *Sidecar) probe(ctx context.Context) {
	svc := s.service()
	if svc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	wasUp := s.health.isUp()
	var metrics engine.Metrics
	responded := false
	if svc.Kind == service.KindEngine {
		metrics, responded = s.probeEngine(ctx)
	} else {
		responded = s.upstream.Reachable(ctx)
	}
	now := s.clock()
	up, restarted := s.health.observe(responded, metrics.StartSeconds)
	if responded {
		s.createScheduler(metrics.MemoryTokens, now)
	}
	s.updateAdmission(metrics, responded && svc.Kind == service.KindEngine, restarted, now)
	s.logUpstreamChange(wasUp, up, restarted)
	s.signal()
}

// updateAdmission passes the result of a probe to the admission controller.
func (s *Sidecar) updateAdmission(metrics engine.Metrics, measured, restarted bool, now time.Time) {
	sched := s.scheduler.Load()
	if sched == nil {
		return
	}
	if restarted {
		sched.controller.Reset(now)
	}
	if measured {
		sched.controller.ObserveEngine(metrics.UsedMemory, metrics.Preemptions, now)
	}
}

// probeEngine returns the metrics of the engine, and whether the engine listed
// its models and returned its metrics.
func (s *Sidecar) probeEngine(ctx context.Context) (engine.Metrics, bool) {
	if _, err := s.engine.Models(ctx); err != nil {
		return engine.Metrics{}, false
	}
	metrics, err := s.engine.Metrics(ctx)
	return metrics, err == nil
}

// logUpstreamChange logs that the upstream went down, came up or was restarted.
func (s *Sidecar) logUpstreamChange(wasUp, up, restarted bool) {
	switch {
	case wasUp && !up:
		s.log.Emit(eventlog.UpstreamDown).Str("peer", s.settings.UpstreamAddress).Send()
	case !wasUp && up:
		s.log.Emit(eventlog.UpstreamUp).Str("peer", s.settings.UpstreamAddress).Send()
	}
	if restarted {
		s.log.Emit(eventlog.UpstreamRestarted).Str("peer", s.settings.UpstreamAddress).Send()
	}
}

// watchInstances evaluates the instance list at intervals until the context
// ends, because an earlier holder of the slot extends the quarantine as long as
// it is listed.
func (s *Sidecar) watchInstances(ctx context.Context) {
	for pause.For(ctx, probeInterval) {
		s.checkInstances(s.clock())
	}
}

// checkInstances checks whether the instance list shows this instance as leaving
// or replaced, or still contains an earlier holder of its slot.
func (s *Sidecar) checkInstances(now time.Time) {
	for _, i := range s.listedInstances() {
		if i.Service != s.settings.Service {
			continue
		}
		switch {
		case i.Name == s.settings.Instance:
			if i.State == instance.StateLeaving {
				s.leave("instance list")
			}
		case i.Slot != s.settings.Slot:
		case i.SlotIncarnation > s.settings.SlotIncarnation:
			s.leave("replaced by " + i.Name)
		default:
			s.quarantine.RecordEarlierHolder(now)
		}
	}
}

// leave makes the sidecar refuse new work because the instance is leaving.
func (s *Sidecar) leave(reason string) {
	if s.health.markLeaving() {
		s.log.Emit(eventlog.SidecarLeaving).Str("reason", reason).Send()
		s.signal()
	}
}
