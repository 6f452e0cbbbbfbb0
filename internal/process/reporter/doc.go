// Package reporter is the process beside an upstream on machines where routers
// reach upstreams directly. It reads the upstream's own report, which is free
// and fresh on the same machine, tells all routers at once that the upstream
// leaves, and gives the turns of copies over the upstream's link.
package reporter
