// Package admin provides the HTTP handler of the admin listener of gateways and
// sidecars: health, readiness, drain, metrics and profiles. A process adds its
// own endpoints with Handle. Only operators may reach the listener.
package admin
