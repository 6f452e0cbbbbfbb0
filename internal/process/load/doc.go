// Package load defines the report of an upstream's load. Sidecars attach it to
// their messages, and gateways use it as a hint when they choose an upstream.
// It may be out of date, so the sidecar still decides whether to admit work.
package load
