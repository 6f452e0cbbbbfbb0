package reporter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/listener"
	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/hostsettings"
	"github.com/flamingohold/flamingohold/internal/process/refusallog"
	"github.com/flamingohold/flamingohold/internal/process/reporter/pace"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/process/turnqueue"
)

const (
	// pollInterval is the time between two polls of the upstream's report.
	pollInterval = 15 * time.Millisecond
	// minLineInterval is the minimum time between two lines that are not urgent.
	minLineInterval = 250 * time.Millisecond
	// callTimeout bounds a poll.
	callTimeout = 400 * time.Millisecond
	// unreachableAfterFailures is the number of consecutive failed polls after
	// which the upstream counts as unreachable.
	unreachableAfterFailures = 3
	// turnTimeout bounds the wait for a turn.
	turnTimeout = 3 * time.Second
	// maxMessageBytes bounds the body of a request about a turn or a reservation.
	maxMessageBytes = 4 << 10
)

// Upstream is a client of the upstream on this instance.
type Upstream interface {
	Report(ctx context.Context, address string) (directory.Report, error)
}

// Reporter is a process of the reporter role.
type Reporter struct {
	settings  hostsettings.Settings
	upstream  Upstream
	log       *eventlog.Log
	telemetry *telemetry.Telemetry
	refusals  *refusallog.Log
	clock     func() time.Time
	turns     *turnqueue.Queue
	// reservations has its own lock.
	reservations *reservations
	// pace is used only by the goroutine that polls.
	pace *pace.Estimator

	mu sync.Mutex
	// line is the latest report, and known is true once there is one. changed is
	// closed and replaced with each line that is sent to the routers.
	line    Line
	known   bool
	changed chan struct{}
	// suspicions is the number of times that a router has started to suspect the
	// upstream.
	suspicions int
}

// New returns a reporter that is not serving yet. The function upstream returns
// a client over the pool.
func New(s hostsettings.Settings, upstream func(pool *upstreamclient.Pool) Upstream, log *eventlog.Log, t *telemetry.Telemetry) (*Reporter, error) {
	if s.UpstreamAddress == "" {
		return nil, errors.New("setting upstream address is empty, but a reporter requires it")
	}
	pool := upstreamclient.New(upstreamclient.Options{DialTimeout: callTimeout}, time.Now)
	return &Reporter{
		settings: s, upstream: upstream(pool), log: log, telemetry: t, clock: time.Now,
		refusals: refusallog.New(log, t.Scope(), time.Now), turns: turnqueue.New(),
		reservations: newReservations(log, t.Scope()), pace: pace.New(), changed: make(chan struct{}),
	}, nil
}

// Reload does nothing, because none of the settings of a reporter can change
// while it runs.
func (r *Reporter) Reload(hostsettings.Settings) {}

// Run serves until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(ReportsPath, r.serveReports)
	mux.HandleFunc(AcquirePath, r.serveAcquire)
	mux.HandleFunc(TryAcquirePath, r.serveTry)
	mux.HandleFunc(ReleasePath, r.serveRelease)
	mux.HandleFunc(SuspicionPath, r.serveSuspicion)
	mux.HandleFunc("POST "+ReservationsPath, r.serveReserve)
	mux.HandleFunc("POST "+ReservationReleasePath, r.serveReservationRelease)
	reports, err := listener.New(r.listenerOptions(r.settings.ReporterAddress), mux)
	if err != nil {
		return err
	}
	metrics, err := listener.New(r.listenerOptions(r.settings.MetricsAddress), r.telemetry.MetricsHandler())
	if err != nil {
		return errors.CombineErrors(err, shutdown(reports))
	}
	r.log.Emit(eventlog.ProcessStarted).Str("role", "reporter").Str("address", reports.Address()).
		Str("upstream", r.settings.UpstreamAddress).Send()
	r.poll(ctx)
	r.log.Emit(eventlog.ProcessStopped).Str("role", "reporter").Send()
	return errors.CombineErrors(shutdown(reports), shutdown(metrics))
}

func (r *Reporter) listenerOptions(address string) listener.Options {
	return listener.Options{Address: address, OnRefusal: r.refusals.Record}.WithMemory(r.settings.MemoryBytes)
}

// shutdown closes the listener and its connections at once, because a stream of
// reports does not end by itself.
func shutdown(l *listener.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// poll polls the upstream's report until the context ends.
func (r *Reporter) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	failures := 0
	published := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		requestedAt := r.clock()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		report, err := r.upstream.Report(callCtx, r.settings.UpstreamAddress)
		cancel()
		var line Line
		if err != nil {
			if failures++; failures < unreachableAfterFailures {
				continue
			}
			line = r.latestLine()
			line.Unreachable = true
		} else {
			failures = 0
			r.reservations.observe(report, requestedAt)
			line = r.observe(report, r.clock())
		}
		published = r.publish(line, published)
	}
}

// observe returns the line of a polled report, with the event time of the upstream.
func (r *Reporter) observe(report directory.Report, now time.Time) Line {
	r.pace.Observe(report, now)
	report.EventTime = r.pace.Estimate(now).EventTime
	return newLine(report).withSteadyEventTime(r.latestLine())
}

func (r *Reporter) latestLine() Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.line
}

// publish stores the line, and wakes the streams if the line is urgent or is due
// under minLineInterval. It returns the time when the streams were last woken.
func (r *Reporter) publish(line Line, published time.Time) time.Time {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	line.Suspicions = r.suspicions
	urgent := !r.known || line.isUrgent(r.line)
	stateChanged := !r.known || line.changesState(r.line)
	changed := line != r.line
	r.line, r.known = line, true
	if stateChanged {
		r.log.Emit(eventlog.UpstreamReported).Int64("born", line.Incarnation).Bool("leaving", line.Leaving).
			Int64("leaves_in_ms", line.LeavesInMillis).Bool("gone", line.Unreachable).Int("running", line.Running).
			Int("memory_used", line.MemoryUsed).Send()
	}
	if !urgent && (!changed || now.Sub(published) < minLineInterval) {
		return published
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return now
}

// current returns the latest line, whether there is one, and a channel that is
// closed when the next one is published.
func (r *Reporter) current() (Line, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.line, r.known, r.changed
}

// serveReports streams the reports to a router.
func (r *Reporter) serveReports(w http.ResponseWriter, request *http.Request) {
	flusher, ok := w.(http.Flusher)
	if !ok {
		http.Error(w, "the connection cannot stream", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	var sent Line
	for {
		line, known, changed := r.current()
		if known {
			if err := json.NewEncoder(w).Encode(line.deltaFrom(sent)); err != nil {
				return
			}
			sent = line
		}
		flusher.Flush()
		timer := time.NewTimer(HeartbeatInterval)
		select {
		case <-request.Context().Done():
			timer.Stop()
			return
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// serveSuspicion records that a router suspects the upstream. The next line
// carries the new count to all routers.
func (r *Reporter) serveSuspicion(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspicions++
	w.WriteHeader(http.StatusOK)
}

// decodeTurn decodes a request about a turn. If that fails, it responds with an
// error and returns false.
func decodeTurn(w http.ResponseWriter, request *http.Request) (turnqueue.Request, bool) {
	var turn turnqueue.Request
	if err := json.NewDecoder(io.LimitReader(request.Body, maxMessageBytes)).Decode(&turn); err != nil {
		http.Error(w, "the request about a turn cannot be decoded", http.StatusBadRequest)
		return turnqueue.Request{}, false
	}
	return turn, true
}

// serveAcquire waits for a turn and acquires it.
func (r *Reporter) serveAcquire(w http.ResponseWriter, request *http.Request) {
	turn, ok := decodeTurn(w, request)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), turnTimeout)
	defer cancel()
	granted := r.turns.Acquire(ctx, turn)
	if granted && request.Context().Err() != nil {
		r.turns.Release(turn.ID)
		granted = false
	}
	r.writeTurnDecision(w, turn, granted)
}

// serveTry acquires the turn if it is free.
func (r *Reporter) serveTry(w http.ResponseWriter, request *http.Request) {
	if turn, ok := decodeTurn(w, request); ok {
		r.writeTurnDecision(w, turn, r.turns.TryAcquire(turn))
	}
}

func (r *Reporter) writeTurnDecision(w http.ResponseWriter, turn turnqueue.Request, granted bool) {
	r.log.Emit(eventlog.TurnDecided).Str("request_id", turn.ID).Bool("granted", granted).Float64("worth", turn.Priority).
		Int("waiting", r.turns.Waiting()).Send()
	if !granted {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveRelease releases a turn.
func (r *Reporter) serveRelease(w http.ResponseWriter, request *http.Request) {
	if turn, ok := decodeTurn(w, request); ok {
		r.turns.Release(turn.ID)
		w.WriteHeader(http.StatusOK)
	}
}
