package benchreport_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/benchmark"
	"github.com/flamingohold/flamingohold/internal/standin/benchreport"
	"github.com/flamingohold/flamingohold/internal/standin/loadgen"
)

func measurement() benchmark.Measurement {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	_ = h.RecordValue(25_000)
	return benchmark.Measurement{
		Deployment: "fjordlam", Scenario: "burst", Policy: "full", Preemptions: 7,
		Result: &loadgen.Result{
			Sent: 4, Completed: 3, LostTokens: 5, Refused: map[string]int{"urn:flamingohold:problem:queue_full": 1}, Duration: time.Second, Tokens: 9,
			FirstToken: h, Gap: h, Stall: h, Total: h, Call: h, TokensBySecond: []int{4, 5},
		},
	}
}

// Guards against a table that omits a count or shows it in another column.
func TestMarkdownContainsCounts(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, benchreport.New([]benchmark.Measurement{measurement()}, []string{"a note"}).WriteMarkdown(&b))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	header, row := strings.Split(lines[len(lines)-3], "|"), strings.Split(lines[len(lines)-1], "|")
	require.Len(t, row, len(header))
	cells := map[string]string{}
	for i := range header {
		cells[strings.TrimSpace(header[i])] = strings.TrimSpace(row[i])
	}
	require.Equal(t, "75.0%", cells["complete"])
	require.Equal(t, "5 / 0", cells["lost / duplicate tokens"])
	require.Equal(t, "25 / 25 / 25", cells["first token p50 / p95 / p99 ms"])
	require.Equal(t, "7", cells["preemptions"])
	require.Equal(t, "1 queue_full", cells["refused by type"])
}

// Guards against a page that refers to another file or lacks plots.
func TestHTMLIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, benchreport.New([]benchmark.Measurement{measurement()}, nil).WriteHTML(&b))
	require.Equal(t, 3, strings.Count(b.String(), "<svg"))
	require.Contains(t, b.String(), "fjordlam: burst")
	require.NotContains(t, b.String(), "src=")
	require.NotContains(t, b.String(), "href=")
}
