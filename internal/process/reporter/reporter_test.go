package reporter

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/hostsettings"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
)

// scriptedUpstream returns the report that the test has set.
type scriptedUpstream struct {
	mu     sync.Mutex
	report directory.Report
	err    error
	// eventTime is the time between the events of the run "r", 0 for no run.
	eventTime time.Duration
	start     time.Time
}

func (s *scriptedUpstream) Report(context.Context, string) (directory.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.report
	if s.eventTime > 0 {
		report.Runs = []directory.Run{{ID: "r", Events: int(time.Since(s.start) / s.eventTime)}}
	}
	return report, s.err
}

func (s *scriptedUpstream) set(r directory.Report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report, s.err = r, err
}

const (
	reporterAddress = "127.0.0.1:17231"
	metricsAddress  = "127.0.0.1:17232"
)

// reportStream reads a stream of reports as a router does.
type reportStream struct {
	scanner *bufio.Scanner
	line    Line
}

// serve runs a reporter until the test ends and returns its stream of reports.
func serve(t *testing.T, upstream *scriptedUpstream, options ...func(*Reporter)) *reportStream {
	t.Helper()
	tel, err := telemetry.New(t.Context(), &settings.Settings{Name: "reporter"})
	require.NoError(t, err)
	s := hostsettings.Settings{UpstreamAddress: "127.0.0.1:1", ReporterAddress: reporterAddress, MetricsAddress: metricsAddress}
	r, err := New(s, func(*upstreamclient.Pool) Upstream { return upstream }, eventlog.Discard(), tel)
	require.NoError(t, err)
	for _, option := range options {
		option(r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	var response *http.Response
	require.Eventually(t, func() bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reporterAddress+ReportsPath, nil)
		require.NoError(t, err)
		response, err = http.DefaultClient.Do(request)
		return err == nil
	}, 2*time.Second, 5*time.Millisecond)
	t.Cleanup(func() { _ = response.Body.Close() })
	return &reportStream{scanner: bufio.NewScanner(response.Body)}
}

// await reads the stream until a line matches.
func (s *reportStream) await(t *testing.T, matches func(Line) bool) Line {
	t.Helper()
	for s.scanner.Scan() {
		require.NoError(t, json.Unmarshal(s.scanner.Bytes(), &s.line))
		if matches(s.line) {
			return s.line
		}
	}
	require.Fail(t, "the stream ended", "%v", s.scanner.Err())
	return Line{}
}

func post(t *testing.T, path, body string) int {
	t.Helper()
	status, _ := call(t, path, body)
	return status
}

func call(t *testing.T, path, body string) (status int, answer string) {
	t.Helper()
	response, err := http.Post("http://"+reporterAddress+path, "application/json", strings.NewReader(body)) //nolint:noctx // a test
	require.NoError(t, err)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode, strings.TrimSpace(string(content))
}

// Guards against routers that are not notified at once that the reporter's
// upstream has work, is leaving, is unreachable, or is suspect to one of them.
func TestStreamReportsChanges(t *testing.T) {
	upstream := &scriptedUpstream{report: directory.Report{Incarnation: 7}}
	stream := serve(t, upstream)
	stream.await(t, func(l Line) bool { return l.Incarnation == 7 && l.Suspicions == 0 })
	upstream.set(directory.Report{Incarnation: 7, Waiting: 2}, nil)
	stream.await(t, func(l Line) bool { return l.Waiting == 2 })
	require.Equal(t, http.StatusOK, post(t, SuspicionPath, ""))
	stream.await(t, func(l Line) bool { return l.Suspicions == 1 && l.Waiting == 2 })
	upstream.set(directory.Report{Incarnation: 7, Leaving: true, TimeUntilDeparture: 1500 * time.Millisecond}, nil)
	line := stream.await(t, func(l Line) bool { return l.Leaving })
	require.Equal(t, 1500*time.Millisecond, line.Report().TimeUntilDeparture)
	require.Equal(t, 1, line.Suspicions)
	upstream.set(directory.Report{}, http.ErrServerClosed)
	stream.await(t, func(l Line) bool { return l.Unreachable })
}

// Guards against two copies at once over the upstream's link, and against a
// released turn that is not granted again.
func TestTurnsAreGrantedOneAtATime(t *testing.T) {
	serve(t, &scriptedUpstream{report: directory.Report{Incarnation: 7}})
	require.Equal(t, http.StatusOK, post(t, AcquirePath, `{"id":"r1","worth":2}`))
	require.Equal(t, http.StatusServiceUnavailable, post(t, TryAcquirePath, `{"id":"r2"}`))
	require.Equal(t, http.StatusOK, post(t, ReleasePath, `{"id":"r1"}`))
	require.Equal(t, http.StatusOK, post(t, TryAcquirePath, `{"id":"r2"}`))
	require.Equal(t, http.StatusBadRequest, post(t, TryAcquirePath, `{`))
}

// Guards against room that two routers get by the same report, against a log that is
// filled by requests that are tried again, against requests that end the reporter or
// reserve without an identifier, and against lines of the stream that count a prompt twice.
func TestReservationsAreGrantedByReports(t *testing.T) {
	var log bytes.Buffer
	decisions := newReservations(eventlog.New(&log, zerolog.InfoLevel, ""), tally.NoopScope)
	now := time.Now()
	upstream := &scriptedUpstream{report: directory.Report{Incarnation: 7, MemoryUsed: 1000, MemoryTotal: 10000}}
	stream := serve(t, upstream, func(r *Reporter) { r.reservations, r.clock = decisions, func() time.Time { return now } })
	stream.await(t, func(l Line) bool { return l.MemoryTotal == 10000 })
	for _, step := range []struct {
		path, body string
		status     int
		answer     string
	}{
		{ReservationsPath, `{"id":"r1","prompt_tokens":6000,"headroom":0.12}`, 200, `{}`},
		{ReservationsPath, `{"id":"r1","prompt_tokens":6000,"headroom":0.12}`, 200, `{}`},
		{ReservationsPath, `{"id":"r2","prompt_tokens":6000}`, 503, `{"reason":"memory"}`},
		{ReservationsPath, `{"id":"r2","prompt_tokens":6000}`, 503, `{"reason":"memory"}`},
		{ReservationReleasePath, `{"id":"r1"}`, 200, ``},
		{ReservationsPath, `{"id":"r2","prompt_tokens":6000}`, 200, `{}`},
		{ReservationsPath, `{"id":""}`, 400, `the id of a reservation is empty or too long`},
		{ReservationsPath, `{"id":"r3","prompt_tokens":1e300}`, 400, `the request about a reservation cannot be decoded`},
	} {
		status, answer := call(t, step.path, step.body)
		require.Equal(t, step.status, status, step.body)
		require.Equal(t, step.answer, answer, step.body)
	}
	upstream.set(directory.Report{Incarnation: 7, MemoryUsed: 1000, MemoryTotal: 10000, Waiting: 1}, nil)
	require.Equal(t, 1000, stream.await(t, func(l Line) bool { return l.Waiting == 1 }).MemoryUsed)
	decisions.mu.Lock()
	defer decisions.mu.Unlock()
	require.Equal(t, 3, strings.Count(log.String(), "reservation_decided"))
	require.Equal(t, 1, strings.Count(log.String(), `"refusals":2`))
}

// Guards against a log line that cannot explain its decision: the growth that counts
// depends on the expected length of the request's output.
func TestDecisionIsLoggedWithItsGrowth(t *testing.T) {
	for output, growth := range map[int]int{0: 2128, 8: 489} {
		var log bytes.Buffer
		decisions := newReservations(eventlog.New(&log, zerolog.InfoLevel, ""), tally.NoopScope)
		now := time.Now()
		decisions.observe(directory.Report{Running: 8, MemoryUsed: 1000, MemoryTotal: 10000}, now)
		require.True(t, decisions.reserve(reservation.Request{ID: "a", PromptTokens: 100, OutputTokens: output}, now).Granted)
		require.Contains(t, log.String(), fmt.Sprintf(`"growth":%d,`, growth))
	}
}

// Guards against a pace that routers are not sent, and one that outlives the engine's
// incarnation.
func TestStreamReportsPace(t *testing.T) {
	upstream := &scriptedUpstream{report: directory.Report{Incarnation: 7}, eventTime: 20 * time.Millisecond, start: time.Now()}
	stream := serve(t, upstream)
	line := stream.await(t, func(l Line) bool { return l.EventMicros > 0 })
	require.Positive(t, line.Report().EventTime)
	upstream.set(directory.Report{Incarnation: 8, Waiting: 1}, nil)
	require.Zero(t, stream.await(t, func(l Line) bool { return l.Incarnation == 8 }).EventMicros)
}
