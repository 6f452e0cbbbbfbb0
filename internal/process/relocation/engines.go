package relocation

import (
	"context"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoSuchRun is returned if the upstream does not run the request: it has
	// not begun or has ended.
	ErrNoSuchRun = errors.New("the upstream does not run the request")
	// ErrBusy is returned if another copy of the run is in progress.
	ErrBusy = errors.New("another copy of the run is in progress")
	// ErrNoRoom is returned if the target has no room or cannot be reached.
	ErrNoRoom = errors.New("the target has no room for the copy")
)

// CopyOrder asks an upstream to copy the memory of a run to another one.
type CopyOrder struct {
	RequestID     string
	SourceAddress string
	TargetAddress string
	// Final stops the run before the copy is completed.
	Final bool
}

// Copy is the copy of a run's memory at its target.
type Copy struct {
	// Handle names the copy at the source and at the target.
	Handle string
	// Events is the number of events that the run had made.
	Events int
}

// Engines makes the calls that move generations.
type Engines interface {
	// Copy copies what is new of the run's memory and returns when the target
	// has it. After ErrNoRoom to a final order, the handle names the stopped run
	// at the source.
	Copy(ctx context.Context, order CopyOrder) (Copy, error)
	// Free gives up a copy at both ends.
	Free(ctx context.Context, sourceAddress, handle string) error
	// CopySource returns the value that names a copy to an upstream.
	CopySource(sourceAddress, handle string) string
}
