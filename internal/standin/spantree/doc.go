// Package spantree reads the span files of a deployment and prints the spans
// of one request hop by hop.
package spantree
