package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
)

// Actions of control orders.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

// order is a control order, the body of POST /orders.
type order struct {
	// Fence is the fencing number of the sender.
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	// Name is the model to load or unload, or the role to assume.
	Name string `json:"name"`
}

// controlState is the state set by control orders. The engine's lock guards it.
type controlState struct {
	// fence is the highest fencing number received.
	fence  uint64
	models []string
	role   string
	// accepted holds the applied orders, oldest first.
	accepted []order
}

// orderState is the response body of GET /orders.
type orderState struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
	Orders []order  `json:"orders"`
}

func (e *Engine) orderState() orderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return orderState{e.orders.fence, slices.Clone(e.orders.models), e.orders.role, slices.Clone(e.orders.accepted)}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if o.Action != actionLoad && o.Action != actionUnload && o.Action != actionRole {
		writeError(w, http.StatusBadRequest, "unknown action "+o.Action)
		return
	}
	if !e.advanceFence(o.Fence) {
		writeError(w, http.StatusConflict, "old fencing number")
		return
	}
	if o.Action == actionLoad {
		if err := e.fetchWeights(r.Context(), o.Name); err != nil {
			writeError(w, http.StatusBadGateway, err.Error())
			return
		}
	}
	e.apply(o)
	writeJSON(w, http.StatusOK, e.orderState())
}

// advanceFence records the fencing number and reports whether its order may be
// applied. Only an engine with ChecksFencing refuses orders.
func (e *Engine) advanceFence(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && fence < e.orders.fence {
		return false
	}
	e.orders.fence = max(e.orders.fence, fence)
	return true
}

func (e *Engine) apply(o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.accepted = append(e.orders.accepted, o)
	switch o.Action {
	case actionLoad:
		if !slices.Contains(e.orders.models, o.Name) {
			e.orders.models = append(e.orders.models, o.Name)
		}
	case actionUnload:
		e.orders.models = slices.DeleteFunc(e.orders.models, func(m string) bool { return m == o.Name })
	case actionRole:
		e.orders.role = o.Name
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
