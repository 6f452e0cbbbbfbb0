package loadgen_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/deployment"
	"github.com/flamingohold/flamingohold/internal/standin/engine"
	"github.com/flamingohold/flamingohold/internal/standin/loadgen"
)

// openWithoutGateway returns a deployment that has an engine in place of its
// gateway.
func openWithoutGateway(t *testing.T) *deployment.Deployment {
	t.Helper()
	profile := engine.DefaultProfile()
	profile.BaseStep = time.Millisecond
	e := engine.New(engine.Options{Name: "lm-1", Models: []string{"m"}, Profile: profile})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	folder := t.TempDir()
	content, err := json.Marshal(struct {
		Gateways []string `json:"gateways"`
	}{[]string{strings.TrimPrefix(server.URL, "http://")}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(folder, "processes.json"), content, 0o600))
	d, err := deployment.Open(deployment.Options{Folder: folder})
	require.NoError(t, err)
	return d
}

// Guards against a load tool that reports faults in correct answers, and against
// latencies that do not count from the intended send time.
func TestRunFindsNoFaultsInCorrectEngine(t *testing.T) {
	s := shape()
	s.Duration = 2 * time.Second
	s.ReadFraction = 0
	s.Lengths = loadgen.LengthDistribution{Mean: 30, Sigma: 0.5, Max: 100}
	requests := loadgen.Schedule(s)
	requests[0].At = -5 * time.Second
	g := loadgen.New(openWithoutGateway(t))
	defer g.Close()
	r, err := g.Run(t.Context(), requests, s.Duration, time.Minute)
	require.NoError(t, err)
	require.Equal(t, len(requests), r.Sent)
	require.Equal(t, len(requests), r.Completed, "%+v", r)
	require.Zero(t, r.Violations())
	require.GreaterOrEqual(t, r.FirstToken.Max(), (5 * time.Second).Microseconds())
}
