// Package benchreport writes the measurements of a benchmark as a Markdown
// table and as a self-contained HTML page with SVG plots.
package benchreport
