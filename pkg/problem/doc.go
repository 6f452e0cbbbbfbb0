// Package problem defines the error document that callers and peers receive,
// an RFC 9457 problem detail extended by the outcome of the request.
package problem
