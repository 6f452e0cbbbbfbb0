package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/internal/request/tokenlog"
	"github.com/flamingohold/flamingohold/pkg/eventid"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// fakeEngine is an inference engine whose tokens are set by the test.
type fakeEngine struct {
	*httptest.Server
	mu        sync.Mutex
	changed   chan struct{}
	sequences map[string]*fakeSequence
	// starts is the number of generations started, resumes the number of streams
	// resumed.
	starts, resumes atomic.Int32
	// refuse makes the engine respond with status 400 to new generations.
	refuse atomic.Bool
	// startSeconds is the reported start time of the engine's process, in Unix
	// seconds.
	startSeconds atomic.Int64
	// fence is the highest fencing number received in a control request.
	fence atomic.Uint64
	// idle holds the numbers of the streams that send nothing more, closed those
	// of the streams whose connection is closed.
	idle, closed map[int]bool
	// streams is the number of streams opened so far.
	streams int
}

type fakeSequence struct {
	tokens    int
	done      bool
	cancelled bool
}

func newFakeEngine(t *testing.T) *fakeEngine {
	e := &fakeEngine{
		changed: make(chan struct{}), sequences: map[string]*fakeSequence{},
		idle: map[int]bool{}, closed: map[int]bool{},
	}
	e.startSeconds.Store(1000)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.start)
	mux.HandleFunc("GET /v1/completions/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/completions/{id}", e.cancel)
	mux.HandleFunc("GET /v1/models", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"data":[{"id":"m"}]}`)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "vllm:num_requests_running 0\nprocess_start_time_seconds %d\n", e.startSeconds.Load())
	})
	mux.HandleFunc("GET /orders", e.controlState)
	mux.HandleFunc("POST /orders", e.control)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

// control handles a control request.
func (e *fakeEngine) control(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Fence uint64 `json:"fence"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if body.Fence < e.fence.Load() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence.Store(body.Fence)
}

// controlState responds with the highest fencing number and the models.
func (e *fakeEngine) controlState(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, `{"fence":%d,"models":["m"]}`, e.fence.Load())
}

// change changes the engine's state and notifies its streams.
func (e *fakeEngine) change(edit func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	edit()
	close(e.changed)
	e.changed = make(chan struct{})
}

// generate sets the number of tokens of all generations.
func (e *fakeEngine) generate(tokens int, done bool) {
	e.change(func() {
		for _, s := range e.sequences {
			s.tokens, s.done = tokens, done
		}
	})
}

// breakStreams adds the streams opened so far to the set, which is idle or
// closed.
func (e *fakeEngine) breakStreams(broken map[int]bool) {
	e.change(func() {
		for i := range e.streams {
			broken[i+1] = true
		}
	})
}

func (e *fakeEngine) cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, s := range e.sequences {
		if s.cancelled {
			count++
		}
	}
	return count
}

func (e *fakeEngine) start(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if e.refuse.Load() {
		http.Error(w, "too long", http.StatusBadRequest)
		return
	}
	e.starts.Add(1)
	e.change(func() { e.sequences[body.RequestID] = &fakeSequence{} })
	e.stream(w, r, body.RequestID, 0)
}

func (e *fakeEngine) resume(w http.ResponseWriter, r *http.Request) {
	e.resumes.Add(1)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.stream(w, r, r.PathValue("id"), after)
}

func (e *fakeEngine) cancel(_ http.ResponseWriter, r *http.Request) {
	e.change(func() {
		if s := e.sequences[r.PathValue("id")]; s != nil {
			s.cancelled = true
		}
	})
}

func (e *fakeEngine) stream(w http.ResponseWriter, r *http.Request, id string, after int) {
	e.mu.Lock()
	s := e.sequences[id]
	e.streams++
	number := e.streams
	e.mu.Unlock()
	if s == nil {
		http.NotFound(w, r)
		return
	}
	_ = http.NewResponseController(w).Flush()
	for {
		e.mu.Lock()
		state, changed, idle, closed := *s, e.changed, e.idle[number], e.closed[number]
		e.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		for !idle && after < state.tokens {
			after++
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"text\":\"t%d\"}\n\n", after, after)
		}
		if !idle && state.done {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func newEngineHarness(t *testing.T) (*fakeEngine, *harness) {
	e := newFakeEngine(t)
	return e, newHarness(t, engineService(), e.URL)
}

// startGeneration offers a generation and returns its stream, read up to the
// accepted frame.
func (h *harness) startGeneration(e *fakeEngine) (stream *frames, id string) {
	started := e.starts.Load()
	stream = h.offer(context.Background(), h.generation())
	accepted := stream.next()
	require.Equal(h.t, frame.KindAccepted, accepted.Kind)
	h.await(func() bool { return e.starts.Load() == started+1 })
	return stream, accepted.GenerationID
}

// requireTokens requires that the stream contains the tokens after+1 to last and
// then ends.
func requireTokens(t *testing.T, stream *frames, after, last int) {
	t.Helper()
	tokens, end := stream.tokens(uint64(after))
	require.Equal(t, frame.KindEnd, end.Kind)
	require.EqualValues(t, last, end.Seq)
	require.Len(t, tokens, last-after)
	for i, token := range tokens {
		require.JSONEq(t, fmt.Sprintf(`{"text":"t%d"}`, after+i+1), token)
	}
}

// Guards against lost or duplicate tokens when the gateway's connection is closed
// and several readers resume after different tokens.
func TestReadersResumeAfterGivenToken(t *testing.T) {
	e, h := newEngineHarness(t)
	stream, id := h.startGeneration(e)
	_, err := eventid.Parse(id + ":1")
	require.NoError(t, err)
	e.generate(5, false)
	require.EqualValues(t, 1, stream.next().Seq)
	_ = stream.response.Body.Close()
	resumed := h.resume(id, "bakery", 1)
	other := h.resume(id, "bakery", 3)
	e.generate(9, true)
	requireTokens(t, resumed, 1, 9)
	requireTokens(t, other, 3, 9)
	requireTokens(t, h.resume(id, "bakery", 0), 0, 9)
	require.EqualValues(t, 1, e.starts.Load())
}

// Guards against an account that reads a generation of another account.
func TestGenerationsBelongToOneAccount(t *testing.T) {
	e, h := newEngineHarness(t)
	_, id := h.startGeneration(e)
	forged := strings.TrimSuffix(id, id[len(id)-4:]) + "0000"
	for _, tried := range []string{id, forged} {
		refusal := h.resume(tried, "hotel", 0)
		require.Equal(t, http.StatusForbidden, refusal.response.StatusCode)
	}
	h.restart()
	require.Equal(t, http.StatusForbidden, h.resume(id, "hotel", 0).response.StatusCode)
	require.Zero(t, e.resumes.Load())
}

// Guards against losing a generation when the sidecar is restarted while the
// engine continues to generate.
func TestGenerationSurvivesSidecarRestart(t *testing.T) {
	e, h := newEngineHarness(t)
	_, id := h.startGeneration(e)
	e.generate(4, false)
	h.restart()
	first := h.resume(id, "bakery", 3)
	second := h.resume(id, "bakery", 0)
	e.generate(6, true)
	requireTokens(t, first, 3, 6)
	requireTokens(t, second, 0, 6)
	require.EqualValues(t, 1, e.starts.Load())
}

// Guards against losing tokens when the engine's stream is closed or stops
// sending while the engine continues to generate.
func TestBrokenEngineStreamIsResumed(t *testing.T) {
	for name, broken := range map[string]func(*fakeEngine) map[int]bool{
		"closed": func(e *fakeEngine) map[int]bool { return e.closed },
		"idle":   func(e *fakeEngine) map[int]bool { return e.idle },
	} {
		t.Run(name, func(t *testing.T) {
			e, h := newEngineHarness(t)
			stream, _ := h.startGeneration(e)
			e.generate(3, false)
			for range 3 {
				require.Equal(t, frame.KindToken, stream.next().Kind)
			}
			e.breakStreams(broken(e))
			e.generate(7, true)
			requireTokens(t, stream, 3, 7)
		})
	}
}

// Guards against reporting a partial answer as complete after the engine failed,
// either without a replacement or replaced by one that does not know the
// generation.
func TestEngineFailureIsReportedAsIncomplete(t *testing.T) {
	for name, fail := range map[string]func(*fakeEngine){
		"unreachable": func(e *fakeEngine) {
			_ = e.Listener.Close()
			e.breakStreams(e.closed)
		},
		"replaced": func(e *fakeEngine) {
			e.change(func() { clear(e.sequences) })
			e.breakStreams(e.closed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			e, h := newEngineHarness(t)
			stream, id := h.startGeneration(e)
			e.generate(2, false)
			for range 2 {
				require.Equal(t, frame.KindToken, stream.next().Kind)
			}
			fail(e)
			tokens, end := stream.tokens(2)
			require.Empty(t, tokens)
			requireOutcome(t, end, problem.OutcomeIncomplete)
			_, end = h.resume(id, "bakery", 0).tokens(0)
			requireOutcome(t, end, problem.OutcomeIncomplete)
		})
	}
}

// Guards against replacing the engine's refusal by a failure of the sidecar.
func TestEngineRefusalIsPassedOn(t *testing.T) {
	e, h := newEngineHarness(t)
	e.refuse.Store(true)
	end := h.offer(context.Background(), h.generation()).last()
	require.Equal(t, frame.KindResponse, end.Kind)
	require.Equal(t, http.StatusBadRequest, end.Status)
	require.Contains(t, string(end.Body), "too long")
}

// Guards against an engine that generates tokens that nobody reads, and against
// cancelling before the reader had time to reconnect.
func TestAbandonedGenerationIsCancelled(t *testing.T) {
	e, h := newEngineHarness(t)
	stream, id := h.startGeneration(e)
	_ = stream.response.Body.Close()
	again := h.resume(id, "bakery", 0)
	h.advance(tokenlog.OrphanGracePeriod)
	e.generate(1, false)
	require.Equal(t, frame.KindToken, again.next().Kind)
	require.Zero(t, e.cancelled())
	_ = again.response.Body.Close()
	g, ok := h.sidecar.generations.get(id)
	require.True(t, ok)
	h.await(func() bool {
		h.advance(tokenlog.OrphanGracePeriod)
		state, _, _ := g.log.State()
		return state == tokenlog.StateFailed && e.cancelled() == 1
	})
	h.await(func() bool { return h.sidecar.scheduler.Load().controller.Running() == 0 })
}

// Guards against a caller's cancellation that does not reach the engine, also
// for a generation of an earlier incarnation.
func TestCancelReachesTheEngine(t *testing.T) {
	e, h := newEngineHarness(t)
	stream, id := h.startGeneration(e)
	require.Equal(t, http.StatusNoContent, h.call(http.MethodPost, "/v1/generations/"+id+"/cancel", nil, nil))
	requireOutcome(t, stream.last(), problem.OutcomeIncomplete)
	h.await(func() bool { return e.cancelled() == 1 })
	_, id = h.startGeneration(e)
	h.restart()
	require.Equal(t, http.StatusNoContent, h.call(http.MethodPost, "/v1/generations/"+id+"/cancel", nil, nil))
	h.await(func() bool { return e.cancelled() == 2 })
}

// Guards against sending full load to an engine whose process was restarted
// without notice.
func TestRestartedEngineIsTreatedAsCold(t *testing.T) {
	e, h := newEngineHarness(t)
	controller := h.sidecar.scheduler.Load().controller
	require.Zero(t, controller.Resets())
	e.startSeconds.Store(2000)
	h.await(func() bool { return controller.Resets() == 1 })
	require.Equal(t, load.PhaseReady, h.report().Phase)
}

// Guards against starting a second generation for a copy of the same attempt.
func TestCopyOfAGenerationJoins(t *testing.T) {
	e, h := newEngineHarness(t)
	a := h.generation()
	first := h.offer(context.Background(), a)
	second := h.offer(context.Background(), a)
	h.await(func() bool { return e.starts.Load() == 1 })
	e.generate(3, true)
	requireTokens(t, first, 0, 3)
	requireTokens(t, second, 0, 3)
	h.await(func() bool { return h.query(a.ID).State == attempt.StateDone })
	requireTokens(t, h.offer(context.Background(), a), 0, 3)
	require.EqualValues(t, 1, e.starts.Load())
}

// Guards against control requests from a replaced holder of the slot, and
// against new work for an engine that accepts requests only from the later
// holder.
func TestControlRequestsCarryTheFencingNumber(t *testing.T) {
	e, h := newEngineHarness(t)
	h.service.ChecksFencing = true
	h.sidecar.loadModel(context.Background(), &h.service, "m")
	require.EqualValues(t, 1, e.fence.Load())
	require.Equal(t, load.PhaseReady, h.report().Phase)
	e.fence.Store(2)
	h.sidecar.loadModel(context.Background(), &h.service, "m")
	require.EqualValues(t, 2, e.fence.Load())
	require.Equal(t, load.PhaseLeaving, h.report().Phase)
}
