// Package attempt defines the message with which a gateway offers a request to
// a sidecar, and the states that an attempt passes through there.
package attempt
