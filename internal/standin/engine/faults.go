package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// fault is the body of POST /admin/fault. Absent fields change nothing.
type fault struct {
	// Freeze stops all steps and responses until it is set to false.
	Freeze *bool `json:"freeze"`
	// Silent stops all responses on connections that are open now, without
	// closing them. New connections work.
	Silent bool `json:"silent"`
	// Cold restarts the warm-up.
	Cold bool `json:"cold"`
	// Slow multiplies the step time; 1 ends the fault.
	Slow float64 `json:"slow"`
	// Reset cancels all sequences.
	Reset bool `json:"reset"`
	// StreamErrors is the number of streams that break off after their next token with
	// an error in its place: a numbered event.
	StreamErrors int `json:"stream_errors"`
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var f fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.inject(f)
	writeJSON(w, http.StatusOK, f)
}

func (e *Engine) inject(f fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Freeze != nil {
		e.setFrozen(*f.Freeze)
	}
	if f.Silent {
		e.silentFaults++
	}
	if f.Cold {
		e.warmUpRemaining = e.options.Profile.WarmUpTokens
	}
	if f.Slow > 0 {
		e.slowFactor = f.Slow
	}
	e.streamErrors += f.StreamErrors
	if f.Reset {
		e.cancelAll(time.Now())
	}
}

// takeStreamError reports whether a stream is to break off with an error.
func (e *Engine) takeStreamError() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streamErrors <= 0 {
		return false
	}
	e.streamErrors--
	return true
}

// cancelAll ends all sequences. The engine's lock is held.
func (e *Engine) cancelAll(now time.Time) {
	for _, s := range e.sequences {
		if s.finished.IsZero() {
			s.finishReason = finishCancelled
			e.finish(s, now)
		}
	}
}

func (e *Engine) setFrozen(frozen bool) {
	if frozen && e.frozen == nil {
		e.frozen = make(chan struct{})
		e.signal()
	}
	if !frozen && e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

type connectionKey struct{}

// ConnContext stores in the connection's context how many silent-link faults
// preceded its opening. Set it as http.Server.ConnContext.
func (e *Engine) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, e.silentFaults)
}

// blockOnFault blocks while the engine is frozen and, if the connection is
// silent, until the context ends. It returns an error if the context has ended.
func (e *Engine) blockOnFault(ctx context.Context) error {
	e.mu.Lock()
	frozen := e.frozen
	opened, known := ctx.Value(connectionKey{}).(uint64)
	silent := known && opened < e.silentFaults
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if frozen == nil {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-frozen:
		return e.blockOnFault(ctx)
	}
}
