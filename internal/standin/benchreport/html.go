package benchreport

import (
	_ "embed"
	"html/template"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/standin/benchmark"
)

//go:embed report.html.tmpl
var pageTemplate string

// section is the part of the page about one scenario of one deployment.
type section struct {
	Title string
	Plots []template.HTML
}

// pageData is the input of the page template.
type pageData struct {
	Notes []string
	// Titles are the titles of the table columns.
	Titles   []string
	Rows     [][]string
	Sections []section
}

// WriteHTML writes a page with the notes, the table and plots. It refers to no
// other file.
func (r *Report) WriteHTML(w io.Writer) error {
	t, err := template.New("report").Parse(pageTemplate)
	if err != nil {
		return errors.Wrap(err, "parse report template")
	}
	c := pageData{Notes: r.notes, Sections: r.sections()}
	for _, column := range columns() {
		c.Titles = append(c.Titles, column.title)
	}
	for i := range r.measurements {
		var row []string
		for _, column := range columns() {
			row = append(row, column.value(&r.measurements[i]))
		}
		c.Rows = append(c.Rows, row)
	}
	return errors.Wrap(t.Execute(w, c), "write HTML report")
}

// sections returns a section for each scenario of each deployment, in the order of
// the measurements.
func (r *Report) sections() []section {
	var sections []section
	var titles []string
	for _, m := range r.measurements {
		title := m.Deployment + ": " + m.Scenario
		if slices.Contains(titles, title) {
			continue
		}
		titles = append(titles, title)
		group := r.scenarioMeasurements(m.Deployment, m.Scenario)
		sections = append(sections, section{title, []template.HTML{
			percentilePlot("time between tokens", group, gapHistogram),
			percentilePlot("time to first token", group, firstTokenHistogram),
			secondsPlot("tokens per second", group, tokensBySecond),
		}})
	}
	return sections
}

// scenarioMeasurements returns the measurements of one scenario of one deployment
// under all policies.
func (r *Report) scenarioMeasurements(deployment, scenario string) []benchmark.Measurement {
	var group []benchmark.Measurement
	for _, m := range r.measurements {
		if m.Deployment == deployment && m.Scenario == scenario {
			group = append(group, m)
		}
	}
	return group
}
