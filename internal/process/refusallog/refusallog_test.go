package refusallog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/refusallog"
)

// Guards against callers that flood the log with refusals, and against refusals that
// are missing in the counters or in the next line.
func TestRefusalsAreCountedAndLoggedRarely(t *testing.T) {
	var lines bytes.Buffer
	scope := tally.NewTestScope("", nil)
	now := time.Unix(1_000_000, 0)
	l := refusallog.New(eventlog.New(&lines, zerolog.DebugLevel, "test"), scope, func() time.Time { return now })
	for range 1000 {
		l.Record("overloaded")
	}
	l.Record("line_too_long")
	require.Equal(t, 2, strings.Count(lines.String(), "\n"))
	now = now.Add(10 * time.Second)
	l.Record("overloaded")
	require.Equal(t, 3, strings.Count(lines.String(), "\n"))
	require.Contains(t, lines.String(), `"requests":1000`)
	require.EqualValues(t, 1001, scope.Snapshot().Counters()["listener.refused+reason=overloaded"].Value())
}
