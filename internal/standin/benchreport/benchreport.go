package benchreport

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/standin/benchmark"
)

// Report formats the measurements of a benchmark.
type Report struct {
	measurements []benchmark.Measurement
	// notes describe the conditions of the benchmark, one item each.
	notes []string
}

// New returns a report on the measurements.
func New(measurements []benchmark.Measurement, notes []string) *Report {
	return &Report{measurements: measurements, notes: notes}
}

// column is one column of the table.
type column struct {
	title string
	value func(*benchmark.Measurement) string
}

// columns returns the columns of the table from left to right.
func columns() []column {
	return []column{
		{"deployment", func(m *benchmark.Measurement) string { return m.Deployment }},
		{"scenario", func(m *benchmark.Measurement) string { return m.Scenario }},
		{"policy", func(m *benchmark.Measurement) string { return m.Policy }},
		{"sent", func(m *benchmark.Measurement) string { return fmt.Sprint(m.Result.Sent) }},
		{"complete", func(m *benchmark.Measurement) string { return formatPercent(m.Result.Completed, m.Result.Sent) }},
		{"refused by type", func(m *benchmark.Measurement) string { return formatRefusals(m.Result.Refused) }},
		{"incomplete", func(m *benchmark.Measurement) string { return fmt.Sprint(m.Result.Incomplete) }},
		{"broken", func(m *benchmark.Measurement) string { return fmt.Sprint(m.Result.Broken) }},
		{"unfinished", func(m *benchmark.Measurement) string { return fmt.Sprint(m.Result.Unfinished) }},
		{"first token p50 / p95 / p99 ms", func(m *benchmark.Measurement) string {
			return formatQuantiles(m.Result.FirstToken, 50, 95, 99)
		}},
		{"between tokens p50 / p95 / p99 / p99.9 ms", func(m *benchmark.Measurement) string {
			return formatQuantiles(m.Result.Gap, 50, 95, 99, 99.9)
		}},
		{"stall share", func(m *benchmark.Measurement) string {
			return fmt.Sprintf("%.3f%%", 100*m.Result.StallShare())
		}},
		{"total p50 / p99 s", func(m *benchmark.Measurement) string { return formatTotals(m.Result.Total) }},
		{"tokens/s", func(m *benchmark.Measurement) string {
			return fmt.Sprintf("%.0f", float64(m.Result.Tokens)/m.Result.Duration.Seconds())
		}},
		{"lowest tokens/s in 3 s", func(m *benchmark.Measurement) string {
			return fmt.Sprintf("%.0f", lowestRate(m.Result.TokensBySecond, int(m.Result.Duration/time.Second)))
		}},
		{"preemptions", func(m *benchmark.Measurement) string { return fmt.Sprint(m.Preemptions) }},
		{"lost / duplicate tokens", func(m *benchmark.Measurement) string {
			return fmt.Sprintf("%d / %d", m.Result.LostTokens, m.Result.DuplicateTokens)
		}},
		{"answers with tokens of another prompt / of mixed generations", func(m *benchmark.Measurement) string {
			return fmt.Sprintf("%d / %d", m.Result.WrongPrompt, m.Result.MixedGenerations)
		}},
		{"truncated without error", func(m *benchmark.Measurement) string { return fmt.Sprint(m.Result.Truncated) }},
		{"orders confirmed", func(m *benchmark.Measurement) string {
			return fmt.Sprintf("%d of %d", m.Result.OrdersCompleted, m.Result.Orders)
		}},
		{"orders duplicated / lost / falsely refused", func(m *benchmark.Measurement) string {
			r := m.Result
			return fmt.Sprintf("%d / %d / %d", r.OrdersDuplicated, r.OrdersLost, r.OrdersFalselyRefused)
		}},
		{"late sequences in a data centre out of service", func(m *benchmark.Measurement) string {
			return fmt.Sprint(m.LateSequences)
		}},
		{"s until first sequence in a returned data centre", formatReturnDelay},
		{"cores used by gateways / sidecars", func(m *benchmark.Measurement) string {
			return fmt.Sprintf("%.2f / %.2f", m.Cores[0], m.Cores[1])
		}},
		{"not sent", func(m *benchmark.Measurement) string { return fmt.Sprint(m.Result.Skipped) }},
	}
}

// lowestRate returns the lowest mean count per second over any three consecutive
// seconds of the load. It ignores the first three seconds, in which the first
// answers start.
func lowestRate(counts []int, seconds int) float64 {
	const window = 3
	lowest := math.Inf(1)
	for i := window; i+window <= min(seconds, len(counts)); i++ {
		sum := 0
		for _, n := range counts[i : i+window] {
			sum += n
		}
		lowest = min(lowest, float64(sum)/window)
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

// formatRefusals lists the counts by the last part of the problem type.
func formatRefusals(counts map[string]int) string {
	if len(counts) == 0 {
		return "0"
	}
	var texts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%d %s", counts[kind], kind[strings.LastIndexByte(kind, ':')+1:]))
	}
	return strings.Join(texts, ", ")
}

// formatReturnDelay returns the delay in seconds, "never" if the data centre's
// engines accepted no sequence, or "-" if no data centre returned to service.
func formatReturnDelay(m *benchmark.Measurement) string {
	switch {
	case m.NeverReturned:
		return "never"
	case m.ReturnDelay == 0:
		return "-"
	}
	return fmt.Sprintf("%.1f", m.ReturnDelay.Seconds())
}

func formatPercent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

// formatQuantiles returns the percentiles of a histogram of microseconds in
// milliseconds.
func formatQuantiles(h *hdrhistogram.Histogram, percentiles ...float64) string {
	texts := make([]string, len(percentiles))
	for i, p := range percentiles {
		texts[i] = fmt.Sprintf("%.0f", float64(h.ValueAtQuantile(p))/float64(time.Millisecond/time.Microsecond))
	}
	return strings.Join(texts, " / ")
}

// formatTotals returns the median and the 99th percentile of a histogram of
// microseconds in seconds.
func formatTotals(h *hdrhistogram.Histogram) string {
	second := float64(time.Second / time.Microsecond)
	return fmt.Sprintf("%.1f / %.1f", float64(h.ValueAtQuantile(50))/second, float64(h.ValueAtQuantile(99))/second)
}

// WriteMarkdown writes the notes and a table with one row for each measurement.
func (r *Report) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Benchmark\n\n")
	for _, note := range r.notes {
		b.WriteString("* " + note + "\n")
	}
	b.WriteString("\n|")
	for _, c := range columns() {
		b.WriteString(" " + c.title + " |")
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(columns())) + "\n")
	for i := range r.measurements {
		b.WriteString("|")
		for _, c := range columns() {
			b.WriteString(" " + c.value(&r.measurements[i]) + " |")
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write Markdown report")
}
