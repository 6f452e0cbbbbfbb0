// Package load defines the report of an upstream's load that a sidecar attaches
// to its messages and gateways use as a hint.
package load
