// Package instances is a stand-in for the platform's instance list, which lags
// behind the actual state.
package instances
