package reporter

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/hostsettings"
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
func serve(t *testing.T, upstream *scriptedUpstream) *reportStream {
	t.Helper()
	tel, err := telemetry.New(t.Context(), &settings.Settings{Name: "reporter"})
	require.NoError(t, err)
	s := hostsettings.Settings{UpstreamAddress: "127.0.0.1:1", ReporterAddress: reporterAddress, MetricsAddress: metricsAddress}
	r, err := New(s, func(*upstreamclient.Pool) Upstream { return upstream }, eventlog.Discard(), tel)
	require.NoError(t, err)
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
	response, err := http.Post("http://"+reporterAddress+path, "application/json", strings.NewReader(body)) //nolint:noctx // a test
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
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
