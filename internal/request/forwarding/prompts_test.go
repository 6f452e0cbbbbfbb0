package forwarding

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// newEngineHarness returns a router whose upstreams are engines.
func newEngineHarness(t *testing.T, upstreams ...http.HandlerFunc) *harness {
	h := newHarness(t, upstreams...)
	h.table = routetable.New(routetable.TableContent{
		Version: 2, Routes: testRoutes(), Services: []routetable.Service{{Name: "desk", Engine: &routetable.Engine{MemoryTokens: 30000}}},
		AccountKeys: map[string]routetable.Account{testKey: {Name: "bakery"}},
	})
	return h
}

// prompt returns a request for a route with the shared parts of a prompt.
func (h *harness) prompt(route string, shared ...string) *http.Request {
	r := h.request(http.MethodPost, "/"+route+"/1", "")
	r.Header.Set(testNames.PromptPrefix, strings.Join(append(shared, "own:10"), ","))
	return r
}

// block records crashes until the part is blocked.
func (h *harness) block(part string) {
	for n := range 3 {
		at := time.Now().Add(time.Duration(n-3) * time.Second)
		h.forwarder.Prompts.RecordCrash(promptblock.Crash{Upstream: fmt.Sprintf("gone-%d", n), Parts: []string{part}, At: at})
	}
}

// Guards against sending a prompt with a blocked part to an engine, and against refusing others.
func TestPromptWithBlockedPartIsRefusedAsNotRun(t *testing.T) {
	h := newEngineHarness(t, streamEvents(1, 3, false))
	h.block("harmful")
	response := h.do(h.prompt("draft", "common:79", "harmful:20"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, h.do(h.prompt("draft", "common:79")).StatusCode)
	require.Equal(t, http.StatusOK, h.do(h.prompt("draft")).StatusCode)
}

// Guards against engines that end at prompts which they were reading when the part became blocked.
func TestPromptIsWithdrawnFromEngineOnceItsPartIsBlocked(t *testing.T) {
	reading, withdrawn := make(chan struct{}), make(chan struct{})
	h := newEngineHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		close(reading)
		<-r.Context().Done()
		close(withdrawn)
	})
	go func() {
		<-reading
		h.block("harmful")
	}()
	response := h.do(h.prompt("match", "common:79", "harmful:20"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode, "the engine may have run it")
	<-withdrawn
}

// Guards against counting a withdrawn prompt as a failure of its engine.
func TestWithdrawnPromptIsNoFailureOfItsEngine(t *testing.T) {
	reading := make(chan struct{})
	h := newEngineHarness(t, func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		close(reading)
		<-r.Context().Done()
	})
	go func() {
		<-reading
		// The router has to have read the head by then.
		time.Sleep(100 * time.Millisecond)
		h.block("harmful")
	}()
	require.Equal(t, http.StatusBadGateway, h.do(h.prompt("draft", "harmful:20")).StatusCode)
	view, known := h.directory.Upstream("u-1", time.Now())
	require.True(t, known)
	require.Zero(t, view.FailureRate)
	require.False(t, view.Suspect)
}

// Guards against ending an answer that an engine has begun because a part of its prompt is blocked later.
func TestBegunAnswerIsNotWithdrawn(t *testing.T) {
	begun := make(chan struct{})
	h := newEngineHarness(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 3, false)(w, r)
		close(begun)
		time.Sleep(50 * time.Millisecond)
		streamEvents(4, 5, false)(w, r)
	})
	go func() {
		<-begun
		time.Sleep(10 * time.Millisecond)
		h.block("harmful")
	}()
	response := h.do(h.prompt("draft", "harmful:20"))
	require.Equal(t, http.StatusOK, response.StatusCode)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, 5, strings.Count(string(body), "data:"))
}

// Guards against a repeatable request that ends one engine after the other.
func TestPromptThatEndsEnginesReachesFew(t *testing.T) {
	var reached atomic.Int32
	end := func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		time.Sleep(120 * time.Millisecond)
		closeConnection(w, true)
	}
	h := newEngineHarness(t, end, end, end, end, end)
	for range 5 {
		response := h.do(h.prompt("match", "harmful:20"))
		require.GreaterOrEqual(t, response.StatusCode, http.StatusBadGateway)
	}
	require.LessOrEqual(t, reached.Load(), int32(3))
}
