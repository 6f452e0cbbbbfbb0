package reporter

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
)

// maxRefusedIDs bounds the identifiers whose refusals are counted.
const maxRefusedIDs = 1024

// reservations decides on requests for room at the upstream, and logs and counts the
// decisions. It is safe for concurrent use.
type reservations struct {
	log   *eventlog.Log
	scope tally.Scope

	mu   sync.Mutex
	open *reservation.Reservations
	// refused counts the refusals of each identifier since its last grant, so that
	// routers that try again do not fill the log. It is cleared when it is full.
	refused map[string]int
	// counted holds the values of Shown and Expired that the metrics contain.
	counted reservation.State
}

func newReservations(log *eventlog.Log, scope tally.Scope) *reservations {
	return &reservations{
		log: log, scope: scope.SubScope("reservations"), open: reservation.New(), refused: make(map[string]int),
	}
}

// observe records a report that was requested at the time now, and thus describes the
// upstream at that time or later.
func (s *reservations) observe(r directory.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open.Observe(r, now)
	state := s.open.State(now)
	s.scope.Gauge("open").Update(float64(state.Open))
	s.scope.Gauge("reserved_tokens").Update(float64(state.Reserved))
	s.scope.Counter("shown").Inc(int64(state.Shown - s.counted.Shown))
	s.scope.Counter("expired").Inc(int64(state.Expired - s.counted.Expired))
	s.counted = state
}

// reserve decides on a request.
func (s *reservations) reserve(r reservation.Request, now time.Time) reservation.Decision {
	r, changed := r.WithDefaults()
	if changed {
		s.scope.Counter("invalid").Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.open.State(now)
	decision := s.open.Reserve(r, now)
	s.count(decision)
	refusals := s.refused[r.ID]
	switch {
	case !decision.Granted:
		if len(s.refused) >= maxRefusedIDs {
			clear(s.refused)
		}
		s.refused[r.ID]++
		if refusals > 0 {
			return decision
		}
	case !decision.Unconfirmed && s.open.State(now).Open == state.Open:
		// The reservation was open already, and its grant is in the log.
		return decision
	default:
		delete(s.refused, r.ID)
	}
	s.log.Emit(eventlog.ReservationDecided).Str("request_id", r.ID).Bool("granted", decision.Granted).
		Bool("unconfirmed", decision.Unconfirmed).Str("reason", decision.Reason).Dur("retry_in", decision.RetryIn).
		Int("refusals", refusals).Int("priority", r.Priority).Int("prompt_tokens", r.PromptTokens).
		Int("output_tokens", r.OutputTokens).Float64("headroom", r.Headroom).Int("concurrency_limit", r.ConcurrencyLimit).
		Dur("report_age", state.ReportAge).Int("memory_used", state.Report.MemoryUsed).
		Int("memory_total", state.Report.MemoryTotal).Int("growth", s.open.Growth(r)).Int("waiting", state.Report.Waiting).
		Int("running", state.Report.Running).Int("open", state.Open).Int("reserved_tokens", state.Reserved).Send()
	return decision
}

func (s *reservations) count(d reservation.Decision) {
	switch {
	case d.Unconfirmed:
		s.scope.Counter("unconfirmed").Inc(1)
	case d.Granted:
		s.scope.Counter("granted").Inc(1)
	default:
		s.scope.Tagged(map[string]string{"reason": d.Reason}).Counter("refused").Inc(1)
	}
}

func (s *reservations) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open.Release(id) {
		s.scope.Counter("released").Inc(1)
	}
}

// decode decodes a request about a reservation. If that fails, or if the request has no
// usable identifier, it responds with an error and returns false.
func (s *reservations) decode(w http.ResponseWriter, request *http.Request) (reservation.Request, bool) {
	var r reservation.Request
	if err := json.NewDecoder(io.LimitReader(request.Body, maxMessageBytes)).Decode(&r); err != nil {
		s.scope.Counter("invalid").Inc(1)
		http.Error(w, "the request about a reservation cannot be decoded", http.StatusBadRequest)
		return reservation.Request{}, false
	}
	if !r.HasValidID() {
		s.scope.Counter("invalid").Inc(1)
		http.Error(w, "the id of a reservation is empty or too long", http.StatusBadRequest)
		return reservation.Request{}, false
	}
	return r, true
}

// serveReserve decides on a reservation.
func (r *Reporter) serveReserve(w http.ResponseWriter, request *http.Request) {
	wanted, ok := r.reservations.decode(w, request)
	if !ok {
		return
	}
	decision := r.reservations.reserve(wanted, r.clock())
	status := http.StatusOK
	if !decision.Granted {
		status = http.StatusServiceUnavailable
	}
	content, err := json.Marshal(newReservationAnswer(decision))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	// A router that does not receive the answer proceeds as without reservations.
	_, _ = w.Write(content)
}

// serveReservationRelease releases a reservation.
func (r *Reporter) serveReservationRelease(w http.ResponseWriter, request *http.Request) {
	if ended, ok := r.reservations.decode(w, request); ok {
		r.reservations.release(ended.ID)
		w.WriteHeader(http.StatusOK)
	}
}
