package forwarding

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// newPacedHarness returns a router with an engine in its data centre that needs 70 ms
// for an event, and one elsewhere that needs 25 ms. Streams may have gaps of 180 ms.
func newPacedHarness(t *testing.T) (*harness, tally.TestScope) {
	t.Helper()
	h := newHarness(t, streamEvents(1, 3, false), streamEvents(1, 3, false))
	routes := testRoutes()
	for i := range routes {
		routes[i].MaxEventGap = 180 * time.Millisecond
	}
	h.table = routetable.New(routetable.TableContent{
		Version: 2, Routes: routes, Services: []routetable.Service{{Name: "desk", Engine: &routetable.Engine{MemoryTokens: 30_000, EventTokens: 4}}},
		AccountKeys: map[string]routetable.Account{testKey: {Name: "bakery"}},
	})
	for id, eventTime := range map[string]time.Duration{"u-1": 70 * time.Millisecond, "u-2": 25 * time.Millisecond} {
		h.directory.ObserveReport(id, directory.Report{Incarnation: 1, MemoryTotal: 30_000, EventTime: eventTime}, time.Now())
	}
	scope := tally.NewTestScope("", nil)
	h.forwarder.Metrics = NewMetrics(scope)
	return h, scope
}

// Guards against sizes or gaps that do not reach the choice of the engine and of the
// targets of moves, and against a metric that is tagged with the wrong prediction.
func TestLongStreamsAvoidSlowEngines(t *testing.T) {
	for sizes, want := range map[string]struct{ upstream, predicted string }{
		"100,32": {"u-2", "kept"},
		"100,31": {"u-1", "exceeded"},
		"":       {"u-1", "exceeded"},
	} {
		h, scope := newPacedHarness(t)
		r := h.request(http.MethodPost, "/draft/x", "")
		r.Header.Set(testNames.TokenCounts, sizes)
		response := h.do(r)
		_, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, want.upstream, strings.TrimPrefix(response.Header.Get(testNames.Seal), "seal-of-"), sizes)
		require.Len(t, h.relocator.runs, 1)
		require.Eventually(t, func() bool {
			for _, histogram := range scope.Snapshot().Histograms() {
				if histogram.Name() == "forward.longest_gap" && histogram.Tags()["predicted"] == want.predicted {
					return histogram.Tags()["moved"] == "false"
				}
			}
			return false
		}, 2*time.Second, 5*time.Millisecond, sizes)
	}
}

// Guards against long outputs of all routers that fill the same fast engine, against
// reservations for short ones or where all engines are as fast, and against a request that
// is not sent because every engine refuses.
func TestLongStreamsReserveRoomWhereEnginesAreUneven(t *testing.T) {
	for _, c := range []struct {
		name, sizes string
		slow        time.Duration
		full        map[string]bool
		asked       []string
		upstream    string
	}{
		{"a full fast engine", "100,40", 70 * time.Millisecond, map[string]bool{"u-2": true}, []string{"u-2", "u-1"}, "u-1"},
		{"all are full", "100,40", 70 * time.Millisecond, map[string]bool{"u-1": true, "u-2": true}, []string{"u-2", "u-1"}, "u-2"},
		{"a short output", "100,8", 70 * time.Millisecond, map[string]bool{"u-1": true}, nil, "u-1"},
		{"equal engines", "100,40", 25 * time.Millisecond, map[string]bool{"u-1": true}, nil, "u-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, _ := newPacedHarness(t)
			h.directory.ObserveReport("u-1", directory.Report{Incarnation: 1, MemoryTotal: 30_000, EventTime: c.slow}, time.Now())
			// The median of two is the lower one, so a third engine makes most of them slow.
			h.directory.Upsert(directory.Entry{ID: "u-3", Service: "desk", Address: "127.0.0.1:1", DataCentre: "dc-9", ConcurrencyLimit: 8, Incarnation: 1}, time.Now())
			h.directory.ObserveReport("u-3", directory.Report{Incarnation: 1, MemoryTotal: 30_000, MemoryUsed: 30_000, EventTime: c.slow}, time.Now())
			reservations := &scriptedReservations{}
			var asked []string
			reservations.decide = func(v directory.View, _ reservation.Request) reservation.Decision {
				asked = append(asked, v.ID)
				return reservation.Decision{Granted: !c.full[v.ID], Reason: "memory"}
			}
			h.forwarder.Reservations = reservations
			r := h.request(http.MethodPost, "/draft/x", "prompt")
			r.Header.Set(testNames.TokenCounts, c.sizes)
			response := h.do(r)
			_, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, c.asked, asked)
			require.Equal(t, c.upstream, strings.TrimPrefix(response.Header.Get(testNames.Seal), "seal-of-"))
		})
	}
}

// Guards against an engine that counts as unreachable because a caller disconnected while
// its request asked for room: the dial would fail with the caller's context.
func TestCallerThatLeavesWhileRoomIsAskedSaysNothingOfEngines(t *testing.T) {
	h, _ := newPacedHarness(t)
	h.directory.Upsert(directory.Entry{ID: "u-3", Service: "desk", Address: "127.0.0.1:1", DataCentre: "dc-9", ConcurrencyLimit: 8, Incarnation: 1}, time.Now())
	h.directory.ObserveReport("u-3", directory.Report{Incarnation: 1, MemoryTotal: 30_000, EventTime: 70 * time.Millisecond}, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	h.forwarder.Reservations = &scriptedReservations{decide: func(directory.View, reservation.Request) reservation.Decision {
		cancel()
		return reservation.Decision{Reason: "memory"}
	}}
	r := h.request(http.MethodPost, "/draft/x", "").WithContext(ctx)
	r.RequestURI = "/draft/x"
	r.Header.Set(testNames.TokenCounts, "100,40")
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { h.forwarder.ServeHTTP(httptest.NewRecorder(), r) })
	require.Error(t, ctx.Err())
	for _, v := range h.directory.All(time.Now()) {
		require.False(t, v.Suspect, v.ID)
	}
}

// Guards against a prediction that holds an engine of unknown pace for a fast one.
func TestPredictGap(t *testing.T) {
	for eventTime, want := range map[time.Duration]gapPrediction{
		0: gapUnknown, 25 * time.Millisecond: gapKept, 36 * time.Millisecond: gapKept, 37 * time.Millisecond: gapExceeded,
	} {
		require.Equal(t, want, predictGap(directory.View{EventTime: eventTime}, 180*time.Millisecond))
	}
	require.Equal(t, gapUnknown, predictGap(directory.View{EventTime: time.Second}, 0))
}
