package sidecar

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/engine"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// handler returns the handler of the peer endpoints.
func (s *Sidecar) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/attempts", s.traced("attempt", s.handleOffer))
	mux.HandleFunc("GET /v1/attempts/{id}", s.handleQuery)
	mux.HandleFunc("POST /v1/attempts/{id}/revoke", s.handleRevoke)
	mux.Handle("GET /v1/generations/{id}/frames", s.traced("resume", s.handleResume))
	mux.HandleFunc("POST /v1/generations/{id}/acknowledge", s.handleAcknowledge)
	mux.HandleFunc("POST /v1/generations/{id}/cancel", s.handleCancel)
	mux.HandleFunc("POST /v1/order-keys", s.handleMint)
	mux.HandleFunc("GET /v1/state", s.handleState)
	mux.HandleFunc("POST /v1/hand-overs/{slot}", s.handleHandOver)
	mux.HandleFunc("POST /v1/hand-overs/{slot}/take", s.handleTake)
	mux.Handle("GET /v1/configuration/", s.configurations.Handler())
	return s.authenticated(mux)
}

// authenticated refuses requests without the peer secret.
func (s *Sidecar) authenticated(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			_ = problem.Rejected("wrong_secret", http.StatusUnauthorized, "the peer secret is missing or wrong").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// traced runs the handler in a span that continues the peer's trace.
func (s *Sidecar) traced(name string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := s.telemetry.Tracer().Start(s.telemetry.Extract(r.Context(), r.Header), "sidecar "+name)
		defer span.End()
		next(w, r.WithContext(ctx))
	})
}

func (s *Sidecar) handleQuery(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, statusOf(s.ledger.Query(r.PathValue("id"))))
}

func (s *Sidecar) handleRevoke(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var revocation attempt.Revocation
	if r.ContentLength != 0 {
		if err := json.NewDecoder(r.Body).Decode(&revocation); err != nil {
			_ = problem.Rejected("malformed_revocation", http.StatusBadRequest, err.Error()).Write(w)
			return
		}
	}
	view := s.ledger.Revoke(ledger.Revocation{
		ID: id, Binding: revocation.Binding, Account: revocation.Account, Key: s.keyScope(revocation.OrderKey),
	}, s.clock())
	s.signal()
	writeJSON(w, statusOf(view))
}

func statusOf(view ledger.View) attempt.Status {
	status := attempt.Status{State: view.State}
	if view.Result == nil {
		return status
	}
	status.GenerationID = view.Result.GenerationID
	if status.GenerationID == "" && !view.Result.Dropped {
		status.Response = &attempt.Response{Status: view.Result.Status, Header: view.Result.Header, Body: view.Result.Body}
	}
	return status
}

// handleResume resumes a generation's stream after a token. The generation can
// be one of an earlier incarnation, if the engine still has it.
func (s *Sidecar) handleResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		_ = problem.Rejected("malformed_position", http.StatusBadRequest, "after must be the number of a token").Write(w)
		return
	}
	g, refusal := s.findGeneration(r, id, after)
	if refusal != nil {
		_ = refusal.WithLocation("resume", s.settings.Instance).Write(w)
		return
	}
	s.resumeTokens(w, r, g, after)
}

// findGeneration returns the account's generation, or the refusal.
func (s *Sidecar) findGeneration(r *http.Request, id string, after uint64) (*generationRun, *problem.Problem) {
	account := r.Header.Get(attempt.AccountHeader)
	if !s.ownedBy(id, account) {
		refusal := problem.Rejected("wrong_account", http.StatusForbidden, "the generation is not the account's")
		return nil, &refusal
	}
	if g, ok := s.generations.get(id); ok {
		return g, nil
	}
	g, err := s.reattach(r.Context(), id, account, after)
	if err == nil {
		return g, nil
	}
	refusal := problem.Incomplete("generation_lost", err.Error())
	if errors.Is(err, engine.ErrNotFound) {
		refusal = refusal.WithStatus(http.StatusNotFound)
	}
	return nil, &refusal
}

func (s *Sidecar) handleAcknowledge(w http.ResponseWriter, r *http.Request) {
	var acknowledgement attempt.Acknowledgement
	if err := json.NewDecoder(r.Body).Decode(&acknowledgement); err != nil {
		_ = problem.Rejected("malformed_position", http.StatusBadRequest, err.Error()).Write(w)
		return
	}
	if g, ok := s.generations.get(r.PathValue("id")); ok {
		g.log.Acknowledge(acknowledgement.After)
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleCancel cancels a generation whose caller will not resume it. A
// generation that this incarnation does not know is cancelled directly in the
// engine.
func (s *Sidecar) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if g, ok := s.generations.get(id); ok {
		g.stop()
	} else if instance, _, _ := strings.Cut(id, "."); instance == s.settings.Instance {
		s.cancelInEngine(id)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Sidecar) handleMint(w http.ResponseWriter, _ *http.Request) {
	if refusal, refused := s.unavailable(); refused {
		_ = refusal.WithLocation("mint", s.settings.Instance).Write(w)
		return
	}
	writeJSON(w, attempt.MintedKey{OrderKey: s.mint(s.clock())})
}

func (s *Sidecar) handleState(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.report()) }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
