// Package loadgen generates a load for a deployment and records the answers that
// callers receive. The load tool's benchmark uses it.
//
// Schedule computes the requests and their send times from a seed, and Generator
// sends them. The load is open-loop: latencies count from the intended send time,
// so that a slow system cannot hide its delays by slowing the load down.
package loadgen
