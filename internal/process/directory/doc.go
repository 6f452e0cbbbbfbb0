// Package directory tracks the upstreams of all services on behalf of one
// router. It merges the entries of the instance list, the reports of the
// upstreams themselves, and the outcome of this router's calls, and returns the
// result as immutable views. Package selection chooses among the views;
// upstreams that are leaving, or whose data centre is evacuated, are not
// offered for new work.
package directory
