// Package reporter implements the reporter role: a process beside an upstream
// on machines where routers reach upstreams directly. It polls the status
// report of the upstream, which is cheap and current on the same machine, and
// streams it to all routers, so that they learn at once that the upstream is
// leaving. It also grants the turns of copies over the upstream's link. Package
// reporterclient is its client.
package reporter
