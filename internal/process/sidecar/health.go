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
	// probeInterval is the time between two looks at the upstream.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one look.
	probeTimeout = 2 * time.Second
	// failuresUntilDown is the number of failed probes in a row after which the
	// upstream counts as down. One can fail under load.
	failuresUntilDown = 3
)

// health is what a sidecar knows about the upstream and its own stay. It is
// safe for concurrent use.
type health struct {
	mu sync.Mutex
	// up is true while the upstream answers probes.
	up       bool
	failures int
	// startSeconds identifies the engine's process, 0 if unknown.
	startSeconds float64
	// draining is true after a stop or a drain was asked for, and listed after the
	// instance list showed the instance as leaving or replaced. Neither is taken
	// back, because the list may show older states later.
	draining bool
	listed   bool
}

// observe records a probe. It reports whether the upstream is up, and whether it
// may have been restarted since the last probe that it answered.
func (h *health) observe(answered bool, startSeconds float64) (up, restarted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !answered {
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

func (h *health) drain() (first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first = !h.draining
	h.draining = true
	return first
}

func (h *health) setListed() (first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first = !h.listed
	h.listed = true
	return first
}

func (h *health) leaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining || h.listed
}

func (h *health) isUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// phase returns the phase, and for other phases than ready the reason.
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
	case !s.health.isUp() || s.stage.Load() == nil:
		return load.PhaseStarting, "the upstream does not answer"
	}
	return load.PhaseReady, ""
}

// report returns the load to attach to a message.
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
	if st := s.stage.Load(); st != nil {
		r.Running = st.controller.Running()
		r.Queued = st.queue.Len()
		r.Limit = st.controller.Limit(now)
		r.FreeMemory = st.controller.FreeMemory()
		r.StepMillis = st.controller.StepMillis()
	}
	return r
}

// reporter returns the function that supplies the load for the frames of an
// answer, nil while the requester was told it less than an interval ago.
func (s *Sidecar) reporter(r *http.Request) func() *load.Report {
	peer := r.Header.Get(attempt.PeerHeader)
	return func() *load.Report {
		if !s.pace.Due(peer, s.clock()) {
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
	answered := false
	if svc.Kind == service.KindEngine {
		metrics, answered = s.probeEngine(ctx)
	} else {
		answered = s.upstream.Reachable(ctx)
	}
	now := s.clock()
	up, restarted := s.health.observe(answered, metrics.StartSeconds)
	if answered {
		s.prepare(metrics.MemoryTokens, now)
	}
	s.apply(metrics, answered && svc.Kind == service.KindEngine, restarted, now)
	s.noteUpstream(wasUp, up, restarted)
	s.signal()
}

// apply passes the probe's result on to admission.
func (s *Sidecar) apply(metrics engine.Metrics, measured, restarted bool, now time.Time) {
	st := s.stage.Load()
	if st == nil {
		return
	}
	if restarted {
		st.controller.Restart(now)
	}
	if measured {
		st.controller.ObserveEngine(metrics.UsedMemory, metrics.Preemptions, now)
	}
}

func (s *Sidecar) probeEngine(ctx context.Context) (engine.Metrics, bool) {
	if _, err := s.engine.Models(ctx); err != nil {
		return engine.Metrics{}, false
	}
	metrics, err := s.engine.Metrics(ctx)
	return metrics, err == nil
}

func (s *Sidecar) noteUpstream(wasUp, up, restarted bool) {
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

// watchInstances looks at the instance list until the context ends, because an
// older holder of the slot extends the quarantine as long as it is listed.
func (s *Sidecar) watchInstances(ctx context.Context) {
	for pause.For(ctx, probeInterval) {
		s.considerInstances(s.clock())
	}
}

// considerInstances learns from the instance list that the instance is leaving,
// was replaced, or still has an older holder of its slot beside it.
func (s *Sidecar) considerInstances(now time.Time) {
	for _, i := range s.listed() {
		if i.Service != s.settings.Service {
			continue
		}
		switch {
		case i.Name == s.settings.Instance:
			if i.State == instance.StateLeaving {
				s.leave("instance list")
			}
		case i.Slot != s.settings.Slot:
		case i.Incarnation > s.settings.SlotIncarnation:
			s.leave("replaced by " + i.Name)
		default:
			s.quarantine.RecordEarlierHolder(now)
		}
	}
}

func (s *Sidecar) leave(reason string) {
	if s.health.setListed() {
		s.log.Emit(eventlog.SidecarLeaving).Str("reason", reason).Send()
		s.signal()
	}
}
