// Package processes measures the memory and the processor time of real gateway and
// sidecar processes on loopback. Stand-ins replace the engines, the platform and
// the callers. Command capacity uses it for the series that package measure, which
// runs all parts in one process, cannot provide.
package processes
