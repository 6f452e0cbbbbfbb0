// Package problem defines the error document that callers and peers receive: an
// RFC 9457 problem detail, extended by the outcome of the request. The outcome
// states whether the request may have run, and so whether a caller may safely
// retry it.
package problem
