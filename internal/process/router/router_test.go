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

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/hostsettings"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/router/fleetview"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/request/headers"
	"github.com/flamingohold/flamingohold/internal/version/route"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

var errStoreUnreachable = errors.New("the store is unreachable")

// scriptedStore holds one upstream and one route table once it is reachable.
type scriptedStore struct{ reachable atomic.Bool }

func (s *scriptedStore) Snapshot(context.Context) (mirror.Batch, error) {
	if !s.reachable.Load() {
		return mirror.Batch{}, errStoreUnreachable
	}
	return mirror.Batch{Items: []mirror.Item{{Key: "table", Revision: 2}, {Key: "upstream", Revision: 3}}, Revision: 3, Full: true}, nil
}

func (s *scriptedStore) Watch(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	pause.For(ctx, wait)
	if !s.reachable.Load() {
		return mirror.Batch{}, errStoreUnreachable
	}
	return mirror.Batch{Revision: after}, ctx.Err()
}

// scriptedDecoder decodes the items of the scripted store.
type scriptedDecoder struct{ upstream string }

func (s scriptedDecoder) Decode(item mirror.Item, _ time.Time) (fleetview.Update, error) {
	if item.Key == "upstream" {
		return fleetview.UpstreamListed{Entry: directory.Entry{ID: "u", Service: "desk", Address: s.upstream, DataCentre: "dc-1", ConcurrencyLimit: 8, Incarnation: 1}}, nil
	}
	return fleetview.RouteTable{Table: routetable.New(routetable.TableContent{
		Version: 1, Services: []routetable.Service{{Name: "desk"}},
		Routes: []route.Route{{
			Name: "look", Host: "desk.example", PathPrefix: "/", Kind: route.Idempotent, MaxAttempts: 1, Timeout: time.Second,
			Public: true, Shares: []route.Share{{Service: "desk", Weight: 1}},
		}},
	})}, nil
}

// testRouter is a running router that serves until the test ends.
type testRouter struct {
	t         *testing.T
	callers   string
	readiness string
	metrics   string
	store     *scriptedStore
	stop      context.CancelFunc
	ended     chan error
}

// freeAddress returns an address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

func start(t *testing.T, notice time.Duration, upstream http.HandlerFunc) *testRouter {
	t.Helper()
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	r := &testRouter{t: t, callers: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t), store: &scriptedStore{}, ended: make(chan error, 1)}
	tel, err := telemetry.New(t.Context(), &settings.Settings{Name: "router"})
	require.NoError(t, err)
	router, err := New(Platform{
		Settings: hostsettings.Settings{
			Name: "router", DataCentre: "dc-1", CallerAddress: r.callers, ReadinessAddress: r.readiness, PeerAddress: freeAddress(t),
			MetricsAddress: r.metrics, ReporterPort: 1, MaxDescriptors: 4000, ShutdownNotice: notice,
		},
		Headers:    headers.Names{RequestID: "Request-Id", Deadline: "Time-Left-Ms", ExpectUpstream: "Expect-Upstream", NotRun: "Not-Run", Seal: "Seal"},
		Decoder:    scriptedDecoder{upstream: strings.TrimPrefix(server.URL, "http://")},
		Store:      func(*upstreamclient.Fetcher) mirror.Store { return r.store },
		CopyClient: func(*upstreamclient.Pool, func(string)) relocation.CopyClient { return nil },
	}, eventlog.Discard(), tel)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	go func() { r.ended <- router.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

// get returns the status of the response, 0 if there is none.
func (r *testRouter) get(address, host string) int {
	status, _ := r.read(address, host, "/x")
	return status
}

// read returns the status and the body of the response, 0 if there is none.
func (r *testRouter) read(address, host, target string) (int, string) {
	request, err := http.NewRequestWithContext(r.t.Context(), http.MethodGet, "http://"+address+target, nil)
	require.NoError(r.t, err)
	request.Host = host
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(r.t, errors.CombineErrors(err, response.Body.Close()))
	return response.StatusCode, string(body)
}

func (r *testRouter) await(status int, address string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.get(address, "desk.example") == status }, 5*time.Second, 10*time.Millisecond)
}

func writeSealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Seal", "s")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	_, _ = io.WriteString(w, "seen")
}

// Guards against a router that reports ready before it knows routes and
// upstreams, and against answering 404 for a route that it does not know yet.
func TestRouterIsReadyOnceRoutesAndUpstreamsAreKnown(t *testing.T) {
	r := start(t, 8*time.Second, writeSealed)
	r.await(http.StatusServiceUnavailable, r.readiness)
	require.Equal(t, http.StatusServiceUnavailable, r.get(r.callers, "desk.example"), "a route that is not known yet must not be answered with 404")
	r.store.reachable.Store(true)
	r.await(http.StatusOK, r.readiness)
	require.Equal(t, http.StatusOK, r.get(r.callers, "desk.example"))
	require.Equal(t, http.StatusNotFound, r.get(r.callers, "other.example"))
	r.store.reachable.Store(false)
	require.Equal(t, http.StatusOK, r.get(r.callers, "desk.example"), "without the store, the known routes and upstreams stay in use")
}

// Guards against a stopping router that aborts a request in progress, that
// reports ready, or that does not exit within its shutdown notice.
func TestRouterStopsWithinShutdownNotice(t *testing.T) {
	const notice = 2 * time.Second
	arrived := make(chan struct{}, 1)
	r := start(t, notice, func(w http.ResponseWriter, request *http.Request) {
		arrived <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		writeSealed(w, request)
	})
	r.store.reachable.Store(true)
	r.await(http.StatusOK, r.readiness)
	answered := make(chan int, 1)
	go func() { answered <- r.get(r.callers, "desk.example") }()
	<-arrived
	stopTime := time.Now()
	r.stop()
	r.await(http.StatusServiceUnavailable, r.readiness)
	require.Equal(t, http.StatusOK, <-answered)
	require.NoError(t, <-r.ended)
	require.Less(t, time.Since(stopTime), notice)
}

// Guards against explanations that callers can read, and against metrics that the
// explanations at the same address hide.
func TestExplanationsAreServedAtTheMetricsAddress(t *testing.T) {
	var requests atomic.Int64
	r := start(t, 2*time.Second, func(w http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		writeSealed(w, request)
	})
	const target = "/v1/explain?host=desk.example&path=/x"
	r.await(http.StatusServiceUnavailable, r.readiness)
	_, body := r.read(r.metrics, "router", target)
	require.Contains(t, body, `"reason":"no_routes_known"`)
	r.store.reachable.Store(true)
	r.await(http.StatusOK, r.readiness)
	status, body := r.read(r.metrics, "router", target)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"outcome":"send"`)
	require.Contains(t, body, `"id":"u"`)
	status, body = r.read(r.metrics, "router", "/v1/explain?host=other.example&path=/x")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"outcome":"refuse","reason":"no_route"`)
	status, body = r.read(r.metrics, "router", "/v1/explain?host=desk.example")
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, body, "path is missing")
	status, body = r.read(r.metrics, "router", "/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "go_goroutines")
	require.Zero(t, requests.Load())
	status, _ = r.read(r.callers, "other.example", target)
	require.Equal(t, http.StatusNotFound, status)
	status, body = r.read(r.callers, "desk.example", target)
	require.Equal(t, []any{http.StatusOK, "seen"}, []any{status, body}, "it is a caller's request like any other")
}
