package forwarding

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
)

// Guards against a truncated stream that is terminated as complete. A stopping
// router that ran out of time cancelled the request's context before it closed
// the connection, and the caller accepted the part as the complete stream.
func TestCancelledStreamDoesNotLookComplete(t *testing.T) {
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 2, false)(w, r)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	request := h.request(http.MethodPost, "/draft/x", "").WithContext(ctx)
	request.RequestURI = "/draft/x"
	time.AfterFunc(100*time.Millisecond, cancel)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		h.forwarder.ServeHTTP(httptest.NewRecorder(), request)
	})
}

// Guards against an empty 200 for a request that the process cancelled before
// its upstream answered: the handler returned without a status, and the listener
// sent its default.
func TestUnansweredRequestOfAStoppingProcessFails(t *testing.T) {
	for _, path := range []string{"/draft/x", "/match/x", "/look/x", "/order/x"} {
		h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		ctx, cancel := context.WithCancel(t.Context())
		request := h.request(http.MethodPost, path, "").WithContext(ctx)
		request.RequestURI = path
		time.AfterFunc(50*time.Millisecond, func() {
			h.stop.Store(&Stop{Begin: pastEnd, End: pastEnd})
			cancel()
		})
		answer := httptest.NewRecorder()
		h.forwarder.ServeHTTP(answer, request)
		require.Equal(t, http.StatusBadGateway, answer.Code, path)
	}
}

// Guards against a default answer on the connection of a caller that has
// disconnected.
func TestUnansweredRequestOfADisconnectedCallerIsAborted(t *testing.T) {
	for _, path := range []string{"/draft/x", "/look/x"} {
		h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		ctx, cancel := context.WithCancel(t.Context())
		request := h.request(http.MethodPost, path, "").WithContext(ctx)
		request.RequestURI = path
		time.AfterFunc(50*time.Millisecond, cancel)
		require.PanicsWithValue(t, http.ErrAbortHandler, func() {
			h.forwarder.ServeHTTP(httptest.NewRecorder(), request)
		}, path)
	}
}

// Guards against events that are lost, changed or duplicated by the router.
func TestStreamIsPassedOnCompletely(t *testing.T) {
	h := newHarness(t, streamEvents(1, 50, false))
	response := h.do(h.request(http.MethodPost, "/draft/x", "prompt"))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, events(1, 50), string(body))
	require.Equal(t, "seal-of-u-1", response.Header.Get(testNames.Seal))
}

// Guards against streams that a stopping router accepts and interrupts when it
// exits: one of 940 tokens 3.6 s after SIGTERM, and short ones of crowded engines
// later than that, when callers could have gone to another router.
func TestStoppingRouterAcceptsOnlyRequestsItCanFinish(t *testing.T) {
	const notice = 8 * time.Second
	h := newHarness(t, streamEvents(1, 3, false))
	for _, c := range []struct {
		since                  time.Duration
		path, tokens, hint     string
		deadlineMillis, status int
	}{
		{0, "/draft/x", "3000,940", "", 15000, http.StatusServiceUnavailable},
		{0, "/draft/x", "3000,940", "12", 15000, http.StatusServiceUnavailable},
		{0, "/draft/x", "3000,300", "", 15000, http.StatusServiceUnavailable},
		{0, "/draft/x", "3000,12", "", 15000, http.StatusOK},
		{newCallersPeriod + time.Millisecond, "/draft/x", "3000,12", "", 15000, http.StatusServiceUnavailable},
		{4 * time.Second, "/draft/x", "3000,12", "", 15000, http.StatusServiceUnavailable},
		{4 * time.Second, "/draft/x", "3000,12", "", 3000, http.StatusOK},
		{6 * time.Second, "/draft/x", "300,1", "", 6000, http.StatusServiceUnavailable},
		{4 * time.Second, "/match/x", "", "", 15000, http.StatusOK},
		{4 * time.Second, "/look/x", "", "", 15000, http.StatusOK},
		{6 * time.Second, "/match/x", "", "", 15000, http.StatusServiceUnavailable},
		{6 * time.Second, "/order/x", "", "", 15000, http.StatusServiceUnavailable},
		{6 * time.Second, "/order/x", "", "", 1000, http.StatusOK},
	} {
		begin := time.Now().Add(-c.since)
		h.stop.Store(&Stop{Begin: begin, End: begin.Add(notice)})
		request := h.request(http.MethodPost, c.path, "")
		request.Header.Set(testNames.TokenCounts, c.tokens)
		request.Header.Set(testNames.LengthHint, c.hint)
		request.Header.Set(testNames.Deadline, strconv.Itoa(c.deadlineMillis))
		response := h.do(request)
		require.Equal(t, c.status, response.StatusCode, "%s with tokens %q, %s after the stop began", c.path, c.tokens, c.since)
		if c.status != http.StatusOK {
			require.NotEmpty(t, response.Header.Get("Retry-After"))
		}
	}
}

// pastEnd is the end of a process's stop, in the past.
var pastEnd = time.Now()

func events(first, last int) string {
	all := ""
	for n := first; n <= last; n++ {
		all += event(n)
	}
	return all
}

// Guards against a truncated stream that looks complete, and against an
// incomplete event that reaches the caller.
func TestTruncatedStreamIsNotTerminatedProperly(t *testing.T) {
	h := newHarness(t, streamEvents(1, 3, true))
	response := h.do(h.request(http.MethodPost, "/draft/x", ""))
	body, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Equal(t, events(1, 3), string(body))
}

// Guards against a resumable stream that is not resumed after its upstream
// failed, and against duplicate events where the resumed stream overlaps.
func TestResumableStreamContinuesAtAnotherUpstream(t *testing.T) {
	resumedAfter := make(chan string, 1)
	h := newHarness(t, streamEvents(1, 3, true), func(w http.ResponseWriter, r *http.Request) {
		resumedAfter <- r.Header.Get(testNames.LastEventID)
		streamEvents(3, 6, false)(w, r)
	})
	response := h.do(h.request(http.MethodPost, "/match/x", ""))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, events(1, 6), string(body))
	require.Equal(t, "3", <-resumedAfter)
	require.Equal(t, "seal-of-u-1", response.Header.Get(testNames.Seal), "the header is that of the first upstream")
}

// Guards against a second run of a stream that is not resumable.
func TestStreamThatIsNotResumableRunsOnce(t *testing.T) {
	second := 0
	h := newHarness(t, streamEvents(1, 3, true), func(http.ResponseWriter, *http.Request) { second++ })
	response := h.do(h.request(http.MethodPost, "/draft/x", ""))
	_, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Zero(t, second)
}

// Guards against a moved run that does not continue from the copy of its memory.
// The caller must receive one complete stream from the two upstreams.
func TestMovedStreamContinuesFromItsCopy(t *testing.T) {
	type continuation struct{ from, last string }
	continuations := make(chan continuation, 1)
	h := newHarness(t, streamEvents(1, 4, true), func(w http.ResponseWriter, r *http.Request) {
		continuations <- continuation{r.Header.Get(testNames.KVSource), r.Header.Get(testNames.LastEventID)}
		streamEvents(5, 9, false)(w, r)
	})
	target, ok := h.directory.Upstream("u-2", time.Now())
	require.True(t, ok)
	h.relocator.onBegin = func(r *relocation.Run) {
		r.SetHandoff(relocation.Handoff{Target: target, CopySource: "10.0.0.1:1/handle"})
	}
	response := h.do(h.request(http.MethodPost, "/draft/x", ""))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, events(1, 9), string(body))
	require.Equal(t, continuation{"10.0.0.1:1/handle", "4"}, <-continuations)
}
