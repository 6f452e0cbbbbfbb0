package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
)

// Actions of control requests.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

// controlRequest is the body of POST /orders.
type controlRequest struct {
	// Fence is the fencing number of the sender.
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	// Name is the model to load or unload, or the role to assume.
	Name string `json:"name"`
}

// controlState is the state set by control requests. The engine's lock guards it.
type controlState struct {
	// fence is the highest fencing number received.
	fence  uint64
	models []string
	role   string
	// applied holds the applied requests, oldest first.
	applied []controlRequest
}

// controlReport is the response body of GET /orders.
type controlReport struct {
	Fence  uint64           `json:"fence"`
	Models []string         `json:"models"`
	Role   string           `json:"role"`
	Orders []controlRequest `json:"orders"`
}

func (e *Engine) controlReport() controlReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return controlReport{e.control.fence, slices.Clone(e.control.models), e.control.role, slices.Clone(e.control.applied)}
}

func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	var c controlRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if c.Action != actionLoad && c.Action != actionUnload && c.Action != actionRole {
		writeError(w, http.StatusBadRequest, "unknown action "+c.Action)
		return
	}
	if !e.advanceFence(c.Fence) {
		writeError(w, http.StatusConflict, "old fencing number")
		return
	}
	if c.Action == actionLoad {
		if err := e.fetchWeights(r.Context(), c.Name); err != nil {
			writeError(w, http.StatusBadGateway, err.Error())
			return
		}
	}
	e.apply(c)
	writeJSON(w, http.StatusOK, e.controlReport())
}

// advanceFence records the fencing number and reports whether its control
// request may be applied. Only an engine with ChecksFencing refuses requests.
func (e *Engine) advanceFence(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && fence < e.control.fence {
		return false
	}
	e.control.fence = max(e.control.fence, fence)
	return true
}

func (e *Engine) apply(c controlRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.control.applied = append(e.control.applied, c)
	switch c.Action {
	case actionLoad:
		if !slices.Contains(e.control.models, c.Name) {
			e.control.models = append(e.control.models, c.Name)
		}
	case actionUnload:
		e.control.models = slices.DeleteFunc(e.control.models, func(m string) bool { return m == c.Name })
	case actionRole:
		e.control.role = c.Name
	}
}

// fetchWeights downloads the model's weights at the weight store's rate and
// discards them.
func (e *Engine) fetchWeights(ctx context.Context, name string) error {
	if e.options.WeightStore == "" {
		return nil
	}
	url := "http://" + e.options.WeightStore + "/v1/weights/" + name
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
