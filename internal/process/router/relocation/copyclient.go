package relocation

import (
	"context"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoSuchRun is returned if the upstream does not run the request, which has
	// not started or has ended.
	ErrNoSuchRun = errors.New("the upstream does not run the request")
	// ErrBusy is returned if another copy of the run is in progress.
	ErrBusy = errors.New("another copy of the run is in progress")
	// ErrNoRoom is returned if the target has no room or is unreachable.
	ErrNoRoom = errors.New("the target has no room for the copy")
)

// CopyRequest requests that an upstream copy the memory of a run to another
// upstream.
type CopyRequest struct {
	RequestID     string
	SourceAddress string
	TargetAddress string
	// Final stops the run before the copy completes.
	Final bool
}

// Copy is the copy of a run's memory at its target.
type Copy struct {
	// Handle identifies the copy at the source and at the target.
	Handle string
	// Events is the number of events that the run had produced.
	Events int
}

// CopyClient is the client of the upstreams' copy operations.
type CopyClient interface {
	// Copy copies the part of the run's memory that has changed since the previous
	// copy, and returns once the target has it. If a final request fails with
	// ErrNoRoom, the handle identifies the stopped run at the source.
	Copy(ctx context.Context, request CopyRequest) (Copy, error)
	// Free releases a copy at the source and at the target.
	Free(ctx context.Context, sourceAddress, handle string) error
	// CopySource returns the value by which another upstream finds the copy.
	CopySource(sourceAddress, handle string) string
}
