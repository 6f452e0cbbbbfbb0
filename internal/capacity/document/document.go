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

// Markers of the part of a page that Replace writes.
const (
	begin = "<!-- measured: begin -->"
	end   = "<!-- measured: end -->"
)

const heading = `| series | points (size: value) | unit | per | slope | base | residual |
| --- | --- | --- | --- | --- | --- | --- |
`

// Row returns the series as a line of a table.
func Row(s measure.Series) string {
	points := make([]string, 0, len(s.Points))
	for _, p := range s.Points {
		points = append(points, number(p.X)+": "+number(p.Y))
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s | %.0f%% |", s.Name, strings.Join(points, ", "),
		s.Unit, s.Per, number(s.Line.Slope), number(s.Line.Base), 100*s.Line.Residual)
}

// Table returns the series as a table.
func Table(all []measure.Series) string {
	var b strings.Builder
	b.WriteString(heading)
	for _, s := range all {
		b.WriteString(Row(s) + "\n")
	}
	return b.String()
}

// Replace writes the text between the markers of the page.
func Replace(path, text string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	before, rest, ok := strings.Cut(string(content), begin)
	_, after, complete := strings.Cut(rest, end)
	if !ok || !complete {
		return errors.Newf("page %s has no measured part", path)
	}
	page := before + begin + "\n" + text + end + after
	return errors.Wrap(os.WriteFile(path, []byte(page), 0o644), "write the page")
}

// number writes a value with three significant digits, whole from 100 on.
func number(v float64) string {
	if math.Abs(v) >= 100 || v == math.Trunc(v) {
		return strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
