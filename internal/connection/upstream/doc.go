// Package upstream is the client of a plain service. It hands each request to
// the service at most once and states whether it was handed over.
package upstream
