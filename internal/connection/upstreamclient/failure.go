package upstreamclient

import (
	"fmt"
)

// Failure is the error of an exchange.
type Failure struct {
	// Step is the step that failed: "dial", "admit", "send" or "receive".
	Step    string
	Address string
	// Sent is false if no byte of the request can have reached the peer.
	Sent bool
	Err  error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s %s: %v", f.Step, f.Address, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
