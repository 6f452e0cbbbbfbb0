package forwarding

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

// limited returns an upstream that states the limit, unless it is empty, and
// counts its requests.
func limited(perSecond *atomic.Value, requests *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if text, _ := perSecond.Load().(string); text != "" {
			w.Header().Set(testNames.RateLimit, text)
		}
		answerWith(http.StatusOK, "done")(w, r)
	}
}

func (h *harness) look() *http.Response { return h.do(h.request(http.MethodGet, "/look/1", "")) }

// Guards against requests to an upstream whose limit is used up while another one has no limit.
func TestRequestsGoToAnotherUpstreamOnceALimitIsUsedUp(t *testing.T) {
	var limit atomic.Value
	limit.Store("0.3")
	var first, second atomic.Int64
	h := newHarness(t, limited(&limit, &first), limited(new(atomic.Value), &second))
	for range 10 {
		require.Equal(t, http.StatusOK, h.look().StatusCode)
	}
	require.EqualValues(t, 2, first.Load(), "the request that was told the limit, and one within it")
	require.EqualValues(t, 8, second.Load())
}

// Guards against a request that waits until its deadline although no upstream may get it.
func TestRequestIsRefusedAtOnceIfAllLimitsAreUsedUp(t *testing.T) {
	var limit atomic.Value
	limit.Store("0.3")
	var requests atomic.Int64
	h := newHarness(t, limited(&limit, &requests))
	require.Equal(t, http.StatusOK, h.look().StatusCode)
	require.Equal(t, http.StatusOK, h.look().StatusCode)
	begin := time.Now()
	response := h.look()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Less(t, time.Since(begin), 200*time.Millisecond)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 1.0)
	require.EqualValues(t, 2, requests.Load())
}

// Guards against refusing a request that may be sent within a fraction of its time.
func TestRequestWaitsForTheNextPermitOfTheLastUpstream(t *testing.T) {
	var limit atomic.Value
	limit.Store("20")
	var requests atomic.Int64
	h := newHarness(t, limited(&limit, &requests))
	for range 6 {
		require.Equal(t, http.StatusOK, h.look().StatusCode)
	}
	require.EqualValues(t, 6, requests.Load())
}

// Guards against a limit that stays in force although answers no longer state it, or that an unreadable value lifts.
func TestLimitEndsWithTheAnswersThatStateIt(t *testing.T) {
	var limit atomic.Value
	var requests atomic.Int64
	h := newHarness(t, limited(&limit, &requests))
	limited := func() bool {
		v, _ := h.directory.Upstream("u-1", time.Now())
		return h.limits.Limit(statedlimit.Upstream{ID: v.ID, Incarnation: v.Incarnation}).Limited
	}
	for i, c := range []struct {
		text string
		want bool
	}{{"", false}, {"30.5", true}, {"many", true}, {"-1", true}, {"NaN", true}, {"", false}} {
		limit.Store(c.text)
		require.Equal(t, http.StatusOK, h.look().StatusCode, i)
		require.Equal(t, c.want, limited(), fmt.Sprint(i, c.text))
	}
}
