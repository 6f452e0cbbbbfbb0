package directory

import "time"

// View is the state of one upstream at one time. It is an immutable value.
type View struct {
	ID          string
	Address     string
	DataCentre  string
	Service     string
	Incarnation int64
	// ConcurrencyLimit is that field of the upstream's Entry.
	ConcurrencyLimit int
	// Calls and Tokens are the work in progress that this process has sent to the
	// upstream.
	Calls  int
	Tokens int
	// Reported is true if the upstream's own report is recent. Running, Waiting
	// and MemoryUsed then hold the work of all processes, and Waiting and
	// MemoryUsed include the work that this process has sent since the report.
	Reported  bool
	ReportAge time.Duration
	// Running is the number of generations that produce output, Waiting the number
	// whose prompt has not been processed yet.
	Running     int
	Waiting     int
	MemoryUsed  int
	MemoryTotal int
	// EventTime is the median time between two events of a run of the upstream, 0 if
	// unknown.
	EventTime time.Duration
	// FailureRate is the share of recent calls that failed, from 0 to 1.
	FailureRate float64
	// Suspect is true if the upstream was unreachable or left a request unanswered
	// a short time ago.
	Suspect bool
	// Cold is true if the upstream tolerates only a low rate of requests, Blocked
	// if that rate is used up.
	Cold, Blocked bool
	// Leaving is true if the upstream is about to stop; it gets no new work.
	Leaving bool
	// Removed is true if the upstream is no longer listed, or if a later
	// incarnation or another upstream has its address.
	Removed bool
}
