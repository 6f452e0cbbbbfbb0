package reporter

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
)

const (
	// ReportsPath is the path of the stream of reports, one JSON object per line.
	ReportsPath = "/v1/reports"
	// AcquirePath waits for a turn and acquires it.
	AcquirePath = "/v1/turns/acquire"
	// TryAcquirePath acquires a turn only if it is free.
	TryAcquirePath = "/v1/turns/try"
	// ReleasePath releases a turn.
	ReleasePath = "/v1/turns/release"
	// SuspicionPath reports that a router suspects the upstream.
	SuspicionPath = "/v1/doubts"
	// ReservationsPath asks for room at the upstream. The body is a
	// reservation.Request and the answer a ReservationAnswer, with status 200 if the
	// request is granted and 503 if it is refused.
	ReservationsPath = "/v1/reservations"
	// ReservationReleasePath ends a reservation early. The body contains its id.
	ReservationReleasePath = "/v1/reservations/release"
	// HeartbeatInterval is the longest time between two lines of the stream.
	HeartbeatInterval = 500 * time.Millisecond
)

// ReservationAnswer is the answer to a request for room.
type ReservationAnswer struct {
	// Unconfirmed is true if the request is granted, but nothing is reserved.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Reason is why the request is refused, empty if it is granted.
	Reason string `json:"reason,omitempty"`
	// RetryInMillis is when a refused request may be granted, 0 if unknown.
	RetryInMillis int64 `json:"retry_in_ms,omitempty"`
}

func newReservationAnswer(d reservation.Decision) ReservationAnswer {
	return ReservationAnswer{Unconfirmed: d.Unconfirmed, Reason: d.Reason, RetryInMillis: d.RetryIn.Milliseconds()}
}

// Line is the complete state of a report. Each message of the stream holds only
// the fields that have changed since the previous message, so that decoding a
// message into the previous line yields the current one.
type Line struct {
	Incarnation    int64 `json:"born"`
	Leaving        bool  `json:"leaving"`
	LeavesInMillis int64 `json:"leaves_in_ms"`
	Waiting        int   `json:"waiting"`
	Running        int   `json:"running"`
	MemoryUsed     int   `json:"memory_used"`
	MemoryTotal    int   `json:"memory_total"`
	// Suspicions is the number of times that a router has started to suspect the
	// upstream.
	Suspicions int `json:"doubts"`
	// Unreachable is true if the upstream does not respond to its reporter.
	Unreachable bool `json:"gone"`
}

// delta is a message of the stream: the fields of a line that have changed.
type delta struct {
	Incarnation    *int64 `json:"born,omitempty"`
	Leaving        *bool  `json:"leaving,omitempty"`
	LeavesInMillis *int64 `json:"leaves_in_ms,omitempty"`
	Waiting        *int   `json:"waiting,omitempty"`
	Running        *int   `json:"running,omitempty"`
	MemoryUsed     *int   `json:"memory_used,omitempty"`
	MemoryTotal    *int   `json:"memory_total,omitempty"`
	Suspicions     *int   `json:"doubts,omitempty"`
	Unreachable    *bool  `json:"gone,omitempty"`
}

// deltaFrom returns the fields that differ from the previous line.
func (l Line) deltaFrom(previous Line) delta {
	return delta{
		Incarnation:    ifChanged(l.Incarnation, previous.Incarnation),
		Leaving:        ifChanged(l.Leaving, previous.Leaving),
		LeavesInMillis: ifChanged(l.LeavesInMillis, previous.LeavesInMillis),
		Waiting:        ifChanged(l.Waiting, previous.Waiting),
		Running:        ifChanged(l.Running, previous.Running),
		MemoryUsed:     ifChanged(l.MemoryUsed, previous.MemoryUsed),
		MemoryTotal:    ifChanged(l.MemoryTotal, previous.MemoryTotal),
		Suspicions:     ifChanged(l.Suspicions, previous.Suspicions),
		Unreachable:    ifChanged(l.Unreachable, previous.Unreachable),
	}
}

// ifChanged returns the value, nil if it equals the previous one.
func ifChanged[T comparable](value, previous T) *T {
	if value == previous {
		return nil
	}
	return &value
}

func newLine(r directory.Report) Line {
	return Line{
		Incarnation: r.Incarnation, Leaving: r.Leaving, LeavesInMillis: r.TimeUntilDeparture.Milliseconds(),
		Waiting: r.Waiting, Running: r.Running, MemoryUsed: r.MemoryUsed, MemoryTotal: r.MemoryTotal,
	}
}

// Report returns the report of the line.
func (l Line) Report() directory.Report {
	return directory.Report{
		Incarnation: l.Incarnation, Leaving: l.Leaving, TimeUntilDeparture: time.Duration(l.LeavesInMillis) * time.Millisecond,
		Waiting: l.Waiting, Running: l.Running, MemoryUsed: l.MemoryUsed, MemoryTotal: l.MemoryTotal,
	}
}

// changesState reports whether the upstream has restarted, has started or
// stopped leaving, or has stopped or resumed responding.
func (l Line) changesState(previous Line) bool {
	return l.Incarnation != previous.Incarnation || l.Leaving != previous.Leaving || l.Unreachable != previous.Unreachable
}

// isUrgent reports whether the change must be sent to routers at once. This
// includes the number of waiting prompts, which all routers use for placement,
// and the suspicions of routers.
func (l Line) isUrgent(previous Line) bool {
	return l.changesState(previous) || l.Waiting != previous.Waiting || l.Suspicions != previous.Suspicions
}
