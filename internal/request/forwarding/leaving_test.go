package forwarding

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
)

// leavingUpstream returns an upstream that states in its answers that it leaves, and
// counts its requests.
func leavingUpstream(value string, requests *atomic.Int64, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set(testNames.Leaving, value)
		answer(w, r)
	}
}

func decline(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testNames.NotRun, "1")
	answerWith(http.StatusServiceUnavailable, "")(w, r)
}

// Guards against requests to an upstream that states in an answer that it leaves while
// the list of upstreams still shows it ready: they are cut when it ends.
func TestUpstreamThatStatesItsLeavingGetsNoFurtherRequest(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"success": answerWith(http.StatusOK, "done"),
		"error":   answerWith(http.StatusInternalServerError, "failed"),
		"refusal": decline,
		"stream":  streamEvents(1, 3, false),
		"broken":  streamEvents(1, 3, true),
		"no seal": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) },
	} {
		t.Run(name, func(t *testing.T) {
			var first, second atomic.Int64
			h := newHarness(t, leavingUpstream("1", &first, answer), leavingUpstream("", &second, answerWith(http.StatusOK, "done")))
			address, _ := h.directory.Upstream("u-1", time.Now())
			_ = h.do(h.request(http.MethodGet, "/look/1", ""))
			requireNone := func(why string) {
				second.Store(0)
				for range 3 {
					require.Equal(t, http.StatusOK, h.look().StatusCode)
				}
				require.EqualValues(t, 1, first.Load(), why)
				require.EqualValues(t, 3, second.Load())
			}
			requireNone("the answer binds")
			h.addUpstream(0, address.Address)
			requireNone("the entry is written again")
			h.directory.Restore(directory.Entry{ID: "u-1", Service: "desk", Address: address.Address, DataCentre: "dc-1", ConcurrencyLimit: 100, Incarnation: 1}, time.Now())
			requireNone("the store is restored")
			h.directory.Upsert(directory.Entry{ID: "u-1", Service: "desk", Address: address.Address, DataCentre: "dc-1", ConcurrencyLimit: 100}, time.Now())
			requireNone("an entry without an incarnation is no later one")
			h.directory.ObserveReport("u-1", directory.Report{Incarnation: 1}, time.Now())
			requireNone("the reporter has not learnt it")
			h.directory.Upsert(directory.Entry{ID: "u-1", Service: "desk", Address: address.Address, DataCentre: "dc-1", ConcurrencyLimit: 100, Incarnation: 2}, time.Now())
			_ = h.do(h.request(http.MethodGet, "/look/1", ""))
			require.EqualValues(t, 2, first.Load(), "the upstream has restarted")
		})
	}
}

// Guards against values of the field that stop an upstream which does not leave.
func TestOnlyATrueValueStatesLeaving(t *testing.T) {
	for _, value := range []string{"0", "false", "", "maybe", "-1", "99999999999999999999"} {
		t.Run(value, func(t *testing.T) {
			var requests atomic.Int64
			h := newHarness(t, leavingUpstream(value, &requests, answerWith(http.StatusOK, "done")))
			for range 3 {
				require.Equal(t, http.StatusOK, h.look().StatusCode)
			}
			require.EqualValues(t, 3, requests.Load())
		})
	}
}

// Guards against a request that waits for its deadline, or is not refused as not run,
// while every upstream leaves.
func TestRequestIsRefusedAtOnceIfAllUpstreamsLeave(t *testing.T) {
	var requests atomic.Int64
	h := newHarness(t, leavingUpstream("1", &requests, answerWith(http.StatusOK, "done")))
	require.Equal(t, http.StatusOK, h.look().StatusCode)
	begin := time.Now()
	response := h.look()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Less(t, time.Since(begin), 200*time.Millisecond)
	require.EqualValues(t, 1, requests.Load())
}

// Guards against a request that chose an upstream before that said it leaves, waited for a
// permit or a connection meanwhile, and was sent there nevertheless.
func TestRequestChosenBeforeTheNoticeIsNotSentAfterIt(t *testing.T) {
	requireWithdrawn(t, func(h *harness) { h.directory.MarkLeaving("u-1", 1, time.Now()) })
}

// requireWithdrawn requires that a request which waits for a permit of the only upstream
// is not sent after the restriction.
func requireWithdrawn(t *testing.T, restrict func(*harness)) {
	t.Helper()
	var limit atomic.Value
	limit.Store("8")
	var requests atomic.Int64
	h := newHarness(t, limited(&limit, &requests))
	require.Equal(t, http.StatusOK, h.look().StatusCode)
	require.Equal(t, http.StatusOK, h.look().StatusCode)
	go func() {
		time.Sleep(50 * time.Millisecond)
		restrict(h)
	}()
	require.Equal(t, http.StatusServiceUnavailable, h.look().StatusCode)
	require.EqualValues(t, 2, requests.Load())
}

// Guards against a run that goes on at a target which has said since the copy that it
// leaves, and against giving up a run that can go on at the leaving upstream that holds
// it.
func TestRunGoesOnWhereItWasIfItsTargetLeaves(t *testing.T) {
	var h *harness
	var source, target atomic.Int64
	h = newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testNames.Leaving, "1")
		if source.Add(1) > 1 {
			streamEvents(3, 4, false)(w, r)
			return
		}
		h.directory.MarkLeaving("u-2", 1, time.Now())
		streamEvents(1, 2, true)(w, r)
	}, leavingUpstream("1", &target, streamEvents(3, 4, false)))
	from, _ := h.directory.Upstream("u-1", time.Now())
	to, _ := h.directory.Upstream("u-2", time.Now())
	h.relocator.onBegin = func(r *relocation.Run) {
		r.SetHandoff(relocation.Handoff{Target: to, CopySource: "10.0.0.1:1/handle", Source: from})
	}
	body, err := io.ReadAll(h.do(h.request(http.MethodPost, "/draft/x", "")).Body)
	require.NoError(t, err)
	require.Equal(t, events(1, 4), string(body))
	require.Zero(t, target.Load())
	require.EqualValues(t, 2, source.Load())
}
