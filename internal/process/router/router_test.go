package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/exchange"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/fleetview"
	"github.com/flamingohold/flamingohold/internal/process/machine"
	"github.com/flamingohold/flamingohold/internal/process/mirror"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/relocation"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/request/headers"
	"github.com/flamingohold/flamingohold/internal/version/route"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

var errAway = errors.New("the store is away")

// scriptedStore has one upstream and one table once it is there.
type scriptedStore struct{ there atomic.Bool }

func (s *scriptedStore) Snapshot(context.Context) (mirror.Batch, error) {
	if !s.there.Load() {
		return mirror.Batch{}, errAway
	}
	return mirror.Batch{Items: []mirror.Item{{Key: "table", Revision: 2}, {Key: "upstream", Revision: 3}}, Revision: 3, Full: true}, nil
}

func (s *scriptedStore) Watch(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	pause.For(ctx, wait)
	if !s.there.Load() {
		return mirror.Batch{}, errAway
	}
	return mirror.Batch{Revision: after}, ctx.Err()
}

// scriptedItems says what the items of the scripted store say.
type scriptedItems struct{ upstream string }

func (s scriptedItems) Decode(item mirror.Item) (fleetview.Fact, error) {
	if item.Key == "upstream" {
		return fleetview.Listed{Entry: directory.Entry{ID: "u", Service: "desk", Address: s.upstream, DataCentre: "dc-1", Slots: 8, Born: 1}}, nil
	}
	return fleetview.Configuration{Table: routetable.New(routetable.Content{
		Version: 1, Services: []routetable.Service{{Name: "desk"}},
		Routes: []route.Route{{
			Name: "look", Host: "desk.example", PathPrefix: "/", Kind: route.Idempotent, MaxAttempts: 1, Timeout: time.Second,
			Public: true, Shares: []route.Share{{Service: "desk", Weight: 1}},
		}},
	})}, nil
}

// running is a router that serves until the test ends.
type running struct {
	t         *testing.T
	callers   string
	readiness string
	store     *scriptedStore
	stop      context.CancelFunc
	ended     chan error
}

// free returns an address on which nobody listens.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

func start(t *testing.T, notice time.Duration, upstream http.HandlerFunc) *running {
	t.Helper()
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	r := &running{t: t, callers: free(t), readiness: free(t), store: &scriptedStore{}, ended: make(chan error, 1)}
	tel, err := telemetry.New(t.Context(), &settings.Settings{Name: "router"})
	require.NoError(t, err)
	router, err := New(Platform{
		Settings: machine.Settings{
			Name: "router", DataCentre: "dc-1", CallerAddress: r.callers, ReadinessAddress: r.readiness, PeerAddress: free(t),
			MetricsAddress: free(t), ReporterPort: 1, MaxDescriptors: 4000, ShutdownNotice: notice,
		},
		Headers: headers.Names{RequestID: "Request-Id", Deadline: "Time-Left-Ms", ExpectUpstream: "Expect-Upstream", NotRun: "Not-Run", Seal: "Seal"},
		Decoder: scriptedItems{upstream: strings.TrimPrefix(server.URL, "http://")},
		Store:   func(*exchange.Pool) mirror.Store { return r.store },
		Engines: func(*exchange.Pool) relocation.Engines { return nil },
	}, eventlog.Discard(), tel)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	go func() { r.ended <- router.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

// get returns the status, 0 if there is no answer.
func (r *running) get(address, host string) int {
	request, err := http.NewRequestWithContext(r.t.Context(), http.MethodGet, "http://"+address+"/x", nil)
	require.NoError(r.t, err)
	request.Host = host
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(r.t, errors.CombineErrors(err, response.Body.Close()))
	return response.StatusCode
}

func (r *running) await(status int, address string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.get(address, "desk.example") == status }, 5*time.Second, 10*time.Millisecond)
}

func sealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Seal", "s")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	_, _ = io.WriteString(w, "seen")
}

// Guards against a router that welcomes callers before it knows routes and
// upstreams, and against a final refusal of what it does not know yet.
func TestRouterIsReadyOnceItKnowsItsRoutes(t *testing.T) {
	r := start(t, 8*time.Second, sealed)
	r.await(http.StatusServiceUnavailable, r.readiness)
	require.Equal(t, http.StatusServiceUnavailable, r.get(r.callers, "desk.example"), "a route that is not known yet is no 404")
	r.store.there.Store(true)
	r.await(http.StatusOK, r.readiness)
	require.Equal(t, http.StatusOK, r.get(r.callers, "desk.example"))
	require.Equal(t, http.StatusNotFound, r.get(r.callers, "other.example"))
	r.store.there.Store(false)
	require.Equal(t, http.StatusOK, r.get(r.callers, "desk.example"), "without the store, what is known serves on")
}

// Guards against a stopping router that cuts off a request in progress, that
// looks ready, or that outlasts its notice.
func TestRouterStopsWithinItsNotice(t *testing.T) {
	const notice = 2 * time.Second
	arrived := make(chan struct{}, 1)
	r := start(t, notice, func(w http.ResponseWriter, request *http.Request) {
		arrived <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		sealed(w, request)
	})
	r.store.there.Store(true)
	r.await(http.StatusOK, r.readiness)
	answered := make(chan int, 1)
	go func() { answered <- r.get(r.callers, "desk.example") }()
	<-arrived
	began := time.Now()
	r.stop()
	r.await(http.StatusServiceUnavailable, r.readiness)
	require.Equal(t, http.StatusOK, <-answered)
	require.NoError(t, <-r.ended)
	require.Less(t, time.Since(began), notice)
}
