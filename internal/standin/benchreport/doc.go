// Package benchreport writes the measurements of package benchmark as a report
// for the command "standin load".
//
// The Markdown report is a table. The HTML report is a self-contained page with
// the same table and with SVG plots of the latencies and the token rates.
package benchreport
