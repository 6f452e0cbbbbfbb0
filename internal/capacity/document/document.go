package document

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/capacity/measure"
)

// Markers of the start and end of the measured part of a page.
const (
	beginMarker = "<!-- measured: begin -->"
	endMarker   = "<!-- measured: end -->"
)

const heading = `| series | points (size: value) | unit | per | slope | base | residual |
| --- | --- | --- | --- | --- | --- | --- |
`

// Row returns the series as a row of the table, without a line break.
func Row(s measure.Series) string {
	points := make([]string, 0, len(s.Points))
	for _, p := range s.Points {
		points = append(points, formatNumber(p.X)+": "+formatNumber(p.Y))
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s | %.0f%% |", s.Name, strings.Join(points, ", "),
		s.Unit, s.SizeUnit, formatNumber(s.Line.Slope), formatNumber(s.Line.Intercept), 100*s.Line.Residual)
}

// Table returns the series as a Markdown table with a heading.
func Table(all []measure.Series) string {
	var b strings.Builder
	b.WriteString(heading)
	for _, s := range all {
		b.WriteString(Row(s) + "\n")
	}
	return b.String()
}

// ReplaceMeasured replaces the text between the markers of the page at the path.
func ReplaceMeasured(path, text string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	before, rest, ok := strings.Cut(string(content), beginMarker)
	_, after, complete := strings.Cut(rest, endMarker)
	if !ok || !complete {
		return errors.Newf("page %s lacks a marker of the measured part", path)
	}
	page := before + beginMarker + "\n" + text + endMarker + after
	return errors.Wrap(os.WriteFile(path, []byte(page), 0o644), "write page")
}

// formatNumber formats a value with three significant digits, and a value of 100 or
// more as an integer.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 || v == math.Trunc(v) {
		return strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
