// Package document formats measured series as a Markdown table and replaces the
// measured part of a page with it. Two marker comments delimit that part; the rest
// of the page stays as it is. Command capacity uses it for docs/CAPACITY.md.
package document
