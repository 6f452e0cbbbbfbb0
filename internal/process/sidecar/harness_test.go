package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	secret = "peer secret"
	// waitTimeout is the timeout of every wait in the tests. It is long because the
	// machine can be slow.
	waitTimeout = 60 * time.Second
)

// fakeConfigurations provides a configuration that tests can replace.
type fakeConfigurations struct {
	mu         sync.Mutex
	current    *configuration.Configuration
	subscriber func(*configuration.Configuration)
}

func (f *fakeConfigurations) Current() *configuration.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *fakeConfigurations) Subscribe(subscriber func(*configuration.Configuration)) {
	f.subscriber = subscriber
}
func (f *fakeConfigurations) ObserveVersion(uint64, string, string) {}
func (f *fakeConfigurations) Handler() http.Handler                 { return http.NotFoundHandler() }

func (f *fakeConfigurations) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (f *fakeConfigurations) set(c *configuration.Configuration) {
	f.mu.Lock()
	f.current = c
	f.mu.Unlock()
	f.subscriber(c)
}

// harness runs a sidecar with a fake upstream and a clock that can be advanced.
type harness struct {
	t              *testing.T
	sidecar        *Sidecar
	configurations *fakeConfigurations
	server         *httptest.Server
	url            string
	service        service.Service
	state          string
	// clockOffset is the time in nanoseconds by which the sidecar's clock is ahead.
	clockOffset *atomic.Int64
	upstream    string
	stop        context.CancelFunc
}

// newHarness starts a sidecar of the service for the upstream, with the loops
// that Run starts, and waits until it is ready.
func newHarness(t *testing.T, svc service.Service, upstream string) *harness {
	h := &harness{
		t: t, service: svc, state: fleet.StateInService, configurations: &fakeConfigurations{},
		clockOffset: new(atomic.Int64), upstream: strings.TrimPrefix(upstream, "http://"),
	}
	h.start()
	return h
}

func (h *harness) start() {
	set := &settings.Settings{
		Name: "sidecar-a", Service: h.service.Name, Instance: "a-1", Slot: "a", SlotIncarnation: 1,
		DataCentre: "zg-a", UpstreamAddress: h.upstream,
	}
	tel, err := telemetry.New(context.Background(), set)
	require.NoError(h.t, err)
	s, err := build(dependencies{
		settings: set, secret: secret, log: eventlog.Discard(), telemetry: tel, configurations: h.configurations,
		clock: func() time.Time { return time.Now().Add(time.Duration(h.clockOffset.Load())) },
	})
	require.NoError(h.t, err)
	h.sidecar = s
	h.publish()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	s.startLoops(ctx)
	server := httptest.NewServer(s.handler())
	h.server, h.url = server, server.URL
	h.t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	h.await(func() bool { return h.report().Phase == load.PhaseReady })
}

// restart replaces the sidecar by a new incarnation with the same upstream.
func (h *harness) restart() {
	h.stop()
	h.server.CloseClientConnections()
	h.start()
}

// publish puts a configuration with the harness's service and data centre state
// into force.
func (h *harness) publish() {
	policy := fleet.DefaultPolicy()
	policy.EarlyRefusal = false
	f := fleet.Fleet{DataCentres: []fleet.DataCentre{{Name: "zg-a", State: h.state}}, Policy: policy}
	version := uint64(1)
	if c := h.configurations.Current(); c != nil {
		version = c.Version + 1
	}
	h.configurations.set(configuration.New(version, "hash", f, []service.Service{h.service}, nil))
}

func (h *harness) await(condition func() bool) {
	require.Eventually(h.t, condition, waitTimeout, 5*time.Millisecond)
}

func (h *harness) report() load.Report { return h.sidecar.report() }

// advance moves the sidecar's clock forward.
func (h *harness) advance(d time.Duration) { h.clockOffset.Add(int64(d)) }

func (h *harness) request(ctx context.Context, method, path string, body any, header ...string) *http.Response {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	h.t.Cleanup(cancel)
	data, err := json.Marshal(body)
	require.NoError(h.t, err)
	r, err := http.NewRequestWithContext(ctx, method, h.url+path, bytes.NewReader(data))
	require.NoError(h.t, err)
	r.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// call sends a request, decodes the JSON response into answer unless that is
// nil, and returns the status.
func (h *harness) call(method, path string, body, answer any) int {
	response := h.request(context.Background(), method, path, body)
	if answer != nil {
		require.NoError(h.t, json.NewDecoder(response.Body).Decode(answer))
	}
	return response.StatusCode
}

func (h *harness) query(id string) attempt.Status {
	var status attempt.Status
	require.Equal(h.t, http.StatusOK, h.call(http.MethodGet, "/v1/attempts/"+id, nil, &status))
	return status
}

func (h *harness) revoke(a *attempt.Attempt) attempt.Status {
	var status attempt.Status
	revocation := attempt.RevocationOf(a)
	require.Equal(h.t, http.StatusOK, h.call(http.MethodPost, "/v1/attempts/"+a.ID+"/revoke", revocation, &status))
	return status
}

func (h *harness) offer(ctx context.Context, a *attempt.Attempt) *frames {
	response := h.request(ctx, http.MethodPost, "/v1/attempts", a)
	if response.StatusCode == http.StatusOK {
		require.Equal(h.t, a.ID, response.Header.Get(attempt.StreamIDHeader))
	}
	return newFrames(h.t, response)
}

// order returns an attempt of a new order with the key, empty for none, and the
// sidecar's current binding.
func (h *harness) order(key string) *attempt.Attempt {
	return &attempt.Attempt{
		ID: uuid.NewString(), RequestID: "r", Account: "bakery", Service: h.service.Name, Kind: attempt.KindCall,
		OrderKey: key, Binding: h.report().Incarnation, AdmissionTimeoutMillis: 600_000,
		Request: attempt.Request{Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"stand":7}`)},
	}
}

func (h *harness) generation() *attempt.Attempt {
	return &attempt.Attempt{
		ID: uuid.NewString(), RequestID: "r", Account: "bakery", Service: h.service.Name, Kind: attempt.KindGeneration,
		Repeatable: true, AdmissionTimeoutMillis: 600_000, Model: "m", Stream: true,
		Request: attempt.Request{Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{"prompt":"cake"}`)},
	}
}

func (h *harness) resume(id, account string, after uint64) *frames {
	path := "/v1/generations/" + id + "/frames?after=" + strconv.FormatUint(after, 10)
	return newFrames(h.t, h.request(context.Background(), http.MethodGet, path, nil, attempt.AccountHeader, account))
}

// frames reads the response stream of an offer or a resumption.
type frames struct {
	t        *testing.T
	response *http.Response
	scanner  *bufio.Scanner
	decoder  frame.Decoder
}

func newFrames(t *testing.T, response *http.Response) *frames {
	return &frames{t: t, response: response, scanner: bufio.NewScanner(response.Body)}
}

// next returns the next frame that is not a heartbeat. A refusal is returned as
// a failed frame.
func (f *frames) next() frame.Frame {
	if f.response.StatusCode != http.StatusOK {
		var refusal frame.Frame
		require.NoError(f.t, json.NewDecoder(f.response.Body).Decode(&refusal.Problem))
		refusal.Kind = frame.KindFailed
		return refusal
	}
	for f.scanner.Scan() {
		var decoded frame.Frame
		require.NoError(f.t, f.decoder.Decode(f.scanner.Bytes(), &decoded))
		if decoded.Kind != frame.KindHeartbeat {
			return decoded
		}
	}
	require.Fail(f.t, "stream ended", "%v", f.scanner.Err())
	return frame.Frame{}
}

// last returns the frame that ends the stream.
func (f *frames) last() frame.Frame {
	for {
		decoded := f.next()
		if decoded.Kind != frame.KindAccepted && decoded.Kind != frame.KindToken {
			return decoded
		}
	}
}

// tokens reads the tokens that follow the token with the number after, and the
// frame that ends the stream.
func (f *frames) tokens(after uint64) (tokens []string, end frame.Frame) {
	for {
		decoded := f.next()
		switch decoded.Kind {
		case frame.KindAccepted:
		case frame.KindToken:
			after++
			require.Equal(f.t, after, decoded.Seq)
			tokens = append(tokens, string(decoded.Data))
		default:
			return tokens, decoded
		}
	}
}

// fakeService is a plain service whose responses can be delayed or aborted.
type fakeService struct {
	*httptest.Server
	calls atomic.Int32
	// hold is closed to let the calls return; if it is nil, they return at once.
	hold chan struct{}
	// abort makes the service close the connection after reading a request.
	abort atomic.Bool
}

func newFakeService(t *testing.T, held bool) *fakeService {
	f := &fakeService{}
	if held {
		f.hold = make(chan struct{})
	}
	f.Server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeService) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	number := f.calls.Add(1)
	if f.abort.Load() {
		panic(http.ErrAbortHandler)
	}
	if f.hold != nil {
		<-f.hold
	}
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "booking %d", number)
}

// newPlainHarness starts a sidecar for a fake service in slot a.
func newPlainHarness(t *testing.T, concurrency int, held bool) (*fakeService, *harness) {
	f := newFakeService(t, held)
	return f, newHarness(t, plainService(concurrency, "a"), f.URL)
}

func plainService(concurrency int, slots ...string) service.Service {
	return service.Service{
		Name: "hire-app", Kind: service.KindPlain, Slots: slots, ConcurrencyLimit: concurrency,
		Orders: service.Orders{Methods: []string{http.MethodPost}},
		Queue:  service.Queue{TimeoutMillis: 600_000},
	}
}

func engineService() service.Service {
	return service.Service{Name: "lm-pool", Kind: service.KindEngine, Models: []service.Model{{Name: "m"}}}
}
