// Package scenarios tests the guarantees of docs/design.md with real processes.
// It needs the programs in build, which `make build` creates.
//
// TestScenarios runs the scripts in testdata. Each starts a cluster of gateways,
// sidecars and stand-ins, causes failures, and compares what callers received
// with golden text. TestChaos sends requests while it injects a random sequence
// of faults, which its seed determines. TestStreamOverhead measures the latency
// and the memory that a gateway adds to each stream; it runs only if
// MEASURE_STREAMS is set.
package scenarios
