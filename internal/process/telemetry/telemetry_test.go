package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
)

// Guards against a trace that is interrupted between two processes, and against
// spans that are lost at shutdown.
func TestSpanContinuesIncomingTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.jsonl")
	tel, err := telemetry.New(t.Context(), &settings.Settings{Name: "gateway-1", TraceFile: path})
	require.NoError(t, err)
	incoming := http.Header{}
	incoming.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	ctx, span := tel.Tracer().Start(tel.Extract(t.Context(), incoming), "gateway.request")
	outgoing := http.Header{}
	tel.Inject(ctx, outgoing)
	span.End()
	require.NoError(t, tel.Shutdown(t.Context()))
	require.Contains(t, outgoing.Get("Traceparent"), "0af7651916cd43dd8448eb211c80319c")
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(content), "0af7651916cd43dd8448eb211c80319c")
	require.Contains(t, string(content), "gateway.request")
}

// Guards against metrics that are missing from the scrape endpoint.
func TestMetricsAreServed(t *testing.T) {
	tel, err := telemetry.New(t.Context(), &settings.Settings{Name: "gateway-1"})
	require.NoError(t, err)
	tel.Scope().Counter("requests").Inc(3)
	require.Eventually(t, func() bool {
		recorder := httptest.NewRecorder()
		tel.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return recorder.Code == http.StatusOK && strings.Contains(recorder.Body.String(), "flamingohold_requests 3")
	}, 20*time.Second, 50*time.Millisecond)
	require.NoError(t, tel.Shutdown(t.Context()))
}
