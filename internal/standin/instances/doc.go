// Package instances is a stand-in for the platform's instance list, used in tests
// and load runs. It serves the list with blocking queries, and changes are made
// under /admin. A change becomes visible after a configured lag, because the
// platform's list lags behind the actual state of the instances.
package instances
