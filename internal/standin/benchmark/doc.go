// Package benchmark runs loads against whole deployments in scenarios of steady
// and disturbed service and under several policies.
package benchmark
