package enginecontrol_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/connection/enginecontrol"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

// fakeEngine is an engine that accepts control requests.
type fakeEngine struct {
	mu sync.Mutex
	// checksFencing makes it refuse requests with a lower number than an earlier one.
	checksFencing bool
	// ignoresRequests makes it accept requests without effect.
	ignoresRequests bool
	fence           uint64
	models          []string
	role            string
	// requests is the number of control requests accepted.
	requests int
	// beforeEffect is called before a control request takes effect.
	beforeEffect func()
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPost && !e.execute(r) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"fence": e.fence, "models": e.models, "role": e.role})
}

// execute executes the control request, and returns false if it is refused.
func (e *fakeEngine) execute(r *http.Request) bool {
	var body struct {
		Fence        uint64
		Action, Name string
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if e.checksFencing && body.Fence < e.fence {
		return false
	}
	e.requests++
	if e.beforeEffect != nil {
		e.beforeEffect()
	}
	e.fence = max(e.fence, body.Fence)
	switch {
	case e.ignoresRequests:
	case body.Action == "load":
		e.models = append(e.models, body.Name)
	case body.Action == "unload":
		e.models = nil
	default:
		e.role = body.Name
	}
	return true
}

func newClient(t *testing.T, e *fakeEngine, fence uint64) *enginecontrol.Client {
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return enginecontrol.New(strings.TrimPrefix(server.URL, "http://"), fence, e.checksFencing)
}

// Guards against control requests of a holder that was replaced, for engines
// that check the fencing number and for engines that only report it.
func TestEarlierHolderIsFenced(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		e := &fakeEngine{checksFencing: checksFencing, fence: 5}
		require.ErrorIs(t, newClient(t, e, 4).Load(context.Background(), "m"), enginecontrol.ErrFenced)
		require.Empty(t, e.models)
		require.Zero(t, e.requests)
		require.NoError(t, newClient(t, e, 5).Load(context.Background(), "m"))
		require.Equal(t, []string{"m"}, e.models)
	}
}

// Guards against loading a model twice at an engine that cannot distinguish a
// duplicate control request from a new one.
func TestControlRequestAlreadyInEffectIsNotSent(t *testing.T) {
	e := &fakeEngine{models: []string{"m"}, role: "decode"}
	c := newClient(t, e, 1)
	require.NoError(t, c.Load(context.Background(), "m"))
	require.NoError(t, c.SetRole(context.Background(), "decode"))
	require.Zero(t, e.requests)
	require.NoError(t, c.Unload(context.Background(), "m"))
	require.NoError(t, c.SetRole(context.Background(), "prefill"))
	require.Equal(t, 2, e.requests)
	require.Equal(t, "prefill", e.role)
}

// Guards against a control request that is reported as done although the engine
// ignored it or a later holder sent a request at the same time.
func TestControlRequestIsVerified(t *testing.T) {
	ignoring := &fakeEngine{ignoresRequests: true}
	require.ErrorIs(t, newClient(t, ignoring, 1).Load(context.Background(), "m"), enginecontrol.ErrNotEffective)
	takenOver := &fakeEngine{}
	takenOver.beforeEffect = func() { takenOver.fence = 7 }
	require.ErrorIs(t, newClient(t, takenOver, 1).Load(context.Background(), "m"), enginecontrol.ErrFenced)
}

// Guards against an answer with a malformed head that counts as the success of a control
// request.
func TestAnswerWithAMalformedHeadIsAnError(t *testing.T) {
	address := rawanswer.Serve(t, "HTTP/1.1 000 Error\r\nContent-Length: 2\r\n\r\n{}")
	client := enginecontrol.New(address, 5, true)
	require.ErrorIs(t, client.Load(t.Context(), "m"), answerhead.ErrMalformed)
}

// Guards against a control request that is reported as done after a part of an answer: the engine
// reset the connection.
func TestAnswerThatAResetCutsIsAnError(t *testing.T) {
	address := rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", rawanswer.Reset)
	for range 200 {
		require.Error(t, enginecontrol.New(address, 5, true).Load(t.Context(), "m"))
	}
}
