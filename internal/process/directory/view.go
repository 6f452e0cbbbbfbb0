package directory

import "time"

// View is what is known of one upstream at one moment. It is an immutable value.
type View struct {
	ID         string
	Address    string
	DataCentre string
	Service    string
	Born       int64
	Slots      int
	// Calls and Tokens are the work that this process has there.
	Calls  int
	Tokens int
	// Reported is true if the upstream's own report is recent. Running,
	// Waiting and MemoryUsed then hold the work of all processes, that begun
	// since by this process included.
	Reported  bool
	ReportAge time.Duration
	// Running counts the generations under way, Waiting those whose prompt is
	// still to be read.
	Running     int
	Waiting     int
	MemoryUsed  int
	MemoryTotal int
	// FailureRate is the share of recent calls that failed, from 0 to 1.
	FailureRate float64
	// Suspect upstreams could not be reached a moment ago.
	Suspect bool
	// Cold upstreams tolerate only a low rate; Blocked ones have had it.
	Cold, Blocked bool
	// Leaving upstreams get no new work.
	Leaving bool
	// Gone upstreams are no longer on the list.
	Gone bool
}
