package engineorder_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/engineorder"
)

// fakeEngine takes orders.
type fakeEngine struct {
	mu     sync.Mutex
	checks bool
	// ignores makes it accept orders without effect.
	ignores bool
	fence   uint64
	models  []string
	role    string
	orders  int
	// between runs before an order takes effect.
	between func()
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPost && !e.order(r) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"fence": e.fence, "models": e.models, "role": e.role})
}

func (e *fakeEngine) order(r *http.Request) bool {
	var body struct {
		Fence        uint64
		Action, Name string
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if e.checks && body.Fence < e.fence {
		return false
	}
	e.orders++
	if e.between != nil {
		e.between()
	}
	e.fence = max(e.fence, body.Fence)
	switch {
	case e.ignores:
	case body.Action == "load":
		e.models = append(e.models, body.Name)
	case body.Action == "unload":
		e.models = nil
	default:
		e.role = body.Name
	}
	return true
}

func orders(t *testing.T, e *fakeEngine, fence uint64) *engineorder.Orders {
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return engineorder.New(strings.TrimPrefix(server.URL, "http://"), fence, e.checks)
}

// Guards against orders of a holder that was replaced, for engines that check
// the number and for engines that only show it.
func TestEarlierHolderIsFenced(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := &fakeEngine{checks: checks, fence: 5}
		require.ErrorIs(t, orders(t, e, 4).Load(context.Background(), "m"), engineorder.ErrFenced)
		require.Empty(t, e.models)
		require.Zero(t, e.orders)
		require.NoError(t, orders(t, e, 5).Load(context.Background(), "m"))
		require.Equal(t, []string{"m"}, e.models)
	}
}

// Guards against loading again what is loaded, where the engine does not tell a
// repeated order from a new one.
func TestOrderWithoutEffectIsNotSent(t *testing.T) {
	e := &fakeEngine{models: []string{"m"}, role: "decode"}
	o := orders(t, e, 1)
	require.NoError(t, o.Load(context.Background(), "m"))
	require.NoError(t, o.SetRole(context.Background(), "decode"))
	require.Zero(t, e.orders)
	require.NoError(t, o.Unload(context.Background(), "m"))
	require.NoError(t, o.SetRole(context.Background(), "prefill"))
	require.Equal(t, 2, e.orders)
	require.Equal(t, "prefill", e.role)
}

// Guards against an order that is taken for done although the engine ignored it
// or a later holder commanded the engine at the same time.
func TestOrderIsVerified(t *testing.T) {
	ignoring := &fakeEngine{ignores: true}
	require.ErrorIs(t, orders(t, ignoring, 1).Load(context.Background(), "m"), engineorder.ErrNotEffective)
	raced := &fakeEngine{}
	raced.between = func() { raced.fence = 7 }
	require.ErrorIs(t, orders(t, raced, 1).Load(context.Background(), "m"), engineorder.ErrFenced)
}
