// Package benchmark measures whole deployments under load. The command "standin
// load" uses it.
//
// For each example and policy it starts a deployment and runs the scenarios one
// after the other: steady loads, bursts, restarts of engines, a data centre that
// goes out of service and returns, and others. The policies are the full one, with
// every mechanism, and baselines with a routing rule only.
package benchmark
