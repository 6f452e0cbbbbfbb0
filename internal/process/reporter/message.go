package reporter

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

const (
	// FeedPath is the path of the stream of reports, a JSON object a line.
	FeedPath = "/v1/reports"
	// AcquirePath waits for a turn.
	AcquirePath = "/v1/turns/acquire"
	// TryAcquirePath takes a turn only if it is free.
	TryAcquirePath = "/v1/turns/try"
	// ReleasePath gives a turn back.
	ReleasePath = "/v1/turns/release"
	// DoubtPath tells that a router doubts the upstream.
	DoubtPath = "/v1/doubts"
	// HeartbeatInterval is the longest time between two lines of the stream.
	HeartbeatInterval = 500 * time.Millisecond
)

// Line is a report as a router knows it. Each message of the stream holds what
// has changed since the one before, so that decoding it into the former line
// gives the present one.
type Line struct {
	Born           int64 `json:"born"`
	Leaving        bool  `json:"leaving"`
	LeavesInMillis int64 `json:"leaves_in_ms"`
	Waiting        int   `json:"waiting"`
	Running        int   `json:"running"`
	MemoryUsed     int   `json:"memory_used"`
	MemoryTotal    int   `json:"memory_total"`
	// Doubts counts how often a router has begun to doubt the upstream.
	Doubts int `json:"doubts"`
	// Gone is true if the upstream does not answer its own machine.
	Gone bool `json:"gone"`
}

// change is a message of the stream: the fields of a line that changed.
type change struct {
	Born           *int64 `json:"born,omitempty"`
	Leaving        *bool  `json:"leaving,omitempty"`
	LeavesInMillis *int64 `json:"leaves_in_ms,omitempty"`
	Waiting        *int   `json:"waiting,omitempty"`
	Running        *int   `json:"running,omitempty"`
	MemoryUsed     *int   `json:"memory_used,omitempty"`
	MemoryTotal    *int   `json:"memory_total,omitempty"`
	Doubts         *int   `json:"doubts,omitempty"`
	Gone           *bool  `json:"gone,omitempty"`
}

// since returns what has changed since the line before.
func (l Line) since(before Line) change {
	return change{
		Born:           changed(l.Born, before.Born),
		Leaving:        changed(l.Leaving, before.Leaving),
		LeavesInMillis: changed(l.LeavesInMillis, before.LeavesInMillis),
		Waiting:        changed(l.Waiting, before.Waiting),
		Running:        changed(l.Running, before.Running),
		MemoryUsed:     changed(l.MemoryUsed, before.MemoryUsed),
		MemoryTotal:    changed(l.MemoryTotal, before.MemoryTotal),
		Doubts:         changed(l.Doubts, before.Doubts),
		Gone:           changed(l.Gone, before.Gone),
	}
}

// changed returns the value, nil if it is that of before.
func changed[T comparable](value, before T) *T {
	if value == before {
		return nil
	}
	return &value
}

func lineOf(r directory.Report) Line {
	return Line{
		Born: r.Born, Leaving: r.Leaving, LeavesInMillis: r.LeavesIn.Milliseconds(),
		Waiting: r.Waiting, Running: r.Running, MemoryUsed: r.MemoryUsed, MemoryTotal: r.MemoryTotal,
	}
}

// Report returns the report that the line holds.
func (l Line) Report() directory.Report {
	return directory.Report{
		Born: l.Born, Leaving: l.Leaving, LeavesIn: time.Duration(l.LeavesInMillis) * time.Millisecond,
		Waiting: l.Waiting, Running: l.Running, MemoryUsed: l.MemoryUsed, MemoryTotal: l.MemoryTotal,
	}
}

// changesState reports whether the upstream has started, leaves, or does not
// answer any more.
func (l Line) changesState(before Line) bool {
	return l.Born != before.Born || l.Leaving != before.Leaving || l.Gone != before.Gone
}

// urgent reports whether routers must know of the change at once. Prompts that
// wait are part of it, as all routers place by them, and so are doubts.
func (l Line) urgent(before Line) bool {
	return l.changesState(before) || l.Waiting != before.Waiting || l.Doubts != before.Doubts
}
