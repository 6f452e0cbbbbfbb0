// Package processes measures real gateway and sidecar processes on loopback,
// with stand-ins for all else.
package processes
