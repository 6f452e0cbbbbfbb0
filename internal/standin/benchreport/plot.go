package benchreport

import (
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingohold/flamingohold/internal/standin/benchmark"
)

// Sizes of a plot in pixels.
const (
	plotWidth        = 460
	plotHeight       = 260
	marginLeft       = 56
	marginRight      = 12
	marginTop        = 26
	marginBottom     = 34
	legendLineHeight = 14
)

// colours are from the palette of Okabe and Ito, which colour-blind readers can
// distinguish.
var colours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00"}

func gapHistogram(m *benchmark.Measurement) *hdrhistogram.Histogram { return m.Result.Gap }
func firstTokenHistogram(m *benchmark.Measurement) *hdrhistogram.Histogram {
	return m.Result.FirstToken
}

func tokensBySecond(m *benchmark.Measurement) []int { return m.Result.TokensBySecond }

// point is a position in a plot, each coordinate from 0 to 1.
type point struct{ x, y float64 }

// tick is a labelled position on an axis.
type tick struct {
	position float64
	label    string
}

// percentilePlot draws latency by percentile with one line for each policy. The
// latency axis is logarithmic. The percentiles are at equal distances, which is
// close to logarithmic above 90.
func percentilePlot(
	title string, group []benchmark.Measurement, valuesOf func(*benchmark.Measurement) *hdrhistogram.Histogram,
) template.HTML {
	const minMillis, maxMillis = 1.0, 100_000.0
	position := func(millis float64) float64 {
		return math.Log(max(millis, minMillis)/minMillis) / math.Log(maxMillis/minMillis)
	}
	percentiles := []float64{10, 50, 90, 99, 99.9, 99.99}
	var xTicks, yTicks []tick
	for i, p := range percentiles {
		xTicks = append(xTicks, tick{float64(i) / float64(len(percentiles)-1), fmt.Sprintf("%g", p)})
	}
	for millis := minMillis; millis <= maxMillis; millis *= 10 {
		yTicks = append(yTicks, tick{position(millis), fmt.Sprintf("%g", millis)})
	}
	var lines []line
	for i := range group {
		h := valuesOf(&group[i])
		if h.TotalCount() == 0 {
			continue
		}
		l := line{label: group[i].Policy}
		for j, p := range percentiles {
			millis := float64(h.ValueAtQuantile(p)) / 1000
			l.points = append(l.points, point{xTicks[j].position, position(millis)})
		}
		lines = append(lines, l)
	}
	return draw(title+" (ms) by percentile", xTicks, yTicks, lines)
}

// secondsPlot draws a count for each second of the load with one line for each
// policy.
func secondsPlot(
	title string, group []benchmark.Measurement, valuesOf func(*benchmark.Measurement) []int,
) template.HTML {
	seconds, maxValue := 1, 1
	for i := range group {
		counts := valuesOf(&group[i])
		seconds = max(seconds, len(counts)-1)
		for _, n := range counts {
			maxValue = max(maxValue, n)
		}
	}
	var lines []line
	for i := range group {
		l := line{label: group[i].Policy}
		for second, n := range valuesOf(&group[i]) {
			l.points = append(l.points, point{float64(second) / float64(seconds), float64(n) / float64(maxValue)})
		}
		lines = append(lines, l)
	}
	return draw(title, linearTicks(seconds), linearTicks(maxValue), lines)
}

// linearTicks returns five ticks from 0 to maxValue at equal distances.
func linearTicks(maxValue int) []tick {
	const parts = 4
	var ticks []tick
	for i := range parts + 1 {
		fraction := float64(i) / parts
		ticks = append(ticks, tick{fraction, fmt.Sprintf("%.0f", fraction*float64(maxValue))})
	}
	return ticks
}

// line is a curve with its label in the legend.
type line struct {
	label  string
	points []point
}

// draw returns the plot as an SVG element.
func draw(title string, xTicks, yTicks []tick, lines []line) template.HTML {
	var b strings.Builder
	x := func(v float64) float64 { return marginLeft + v*(plotWidth-marginLeft-marginRight) }
	y := func(v float64) float64 { return plotHeight - marginBottom - v*(plotHeight-marginTop-marginBottom) }
	fmt.Fprintf(&b, `<svg width="%d" height="%d" font-family="sans-serif" font-size="11">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="14" font-weight="bold">%s</text>`, marginLeft, html.EscapeString(title))
	for _, t := range xTicks {
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#eee"/>`, x(t.position), y(0), x(t.position), y(1))
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`, x(t.position), y(0)+16, t.label)
	}
	for _, t := range yTicks {
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#eee"/>`, x(0), y(t.position), x(1), y(t.position))
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" text-anchor="end">%s</text>`, x(0)-6, y(t.position)+4, t.label)
	}
	for i, l := range lines {
		colour := colours[i%len(colours)]
		var coordinates []string
		for _, p := range l.points {
			coordinates = append(coordinates, fmt.Sprintf("%.1f,%.1f", x(p.x), y(p.y)))
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`,
			colour, strings.Join(coordinates, " "))
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" fill="%s">%s</text>`,
			x(0)+8, y(1)+12+float64(i*legendLineHeight), colour, html.EscapeString(l.label))
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}
