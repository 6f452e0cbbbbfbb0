// Package loadgen sends a seeded open-loop load to gateways and records what
// callers see. Latencies count from the intended send time, so that a slow
// system cannot hide its delays by slowing the load down.
package loadgen
