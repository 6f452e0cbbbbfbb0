package pace

import (
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

const (
	// maxIntervals is the number of intervals whose median is the event time, and
	// minIntervals the number below which it is unknown.
	maxIntervals = 32
	minIntervals = 4
	// maxAge is the age above which the event time is unknown.
	maxAge = 10 * time.Second
	// window is the time before the newest interval in which intervals count if
	// there are minIntervals of them. Otherwise an engine with one run would report
	// its earlier pace for over a second after it has become slower.
	window = 500 * time.Millisecond
	// minSpan and minSpanEvents are the shortest time and the lowest number of events
	// over which an interval is measured, maxSpan the time above which the earliest
	// event is dropped. An event is seen up to 15 ms late, which is 15% of minSpan
	// and 7% of maxSpan at most.
	minSpan       = 100 * time.Millisecond
	minSpanEvents = 2
	maxSpan       = 200 * time.Millisecond
	// maxSamples bounds the samples of a span. At one per poll of 15 ms, they
	// cover maxSpan.
	maxSamples = 16
	// maxReportGap is the time between two reports above which a prompt may have
	// been processed unseen.
	maxReportGap = 100 * time.Millisecond
	// maxEventsPerReport is the number of new events above which a report is not
	// plausible: 64 events in 15 ms are 4,000 per second for one caller.
	maxEventsPerReport = 64
)

// Estimate is the event time of an engine.
type Estimate struct {
	// EventTime is the median time between two events of a run, 0 if unknown.
	EventTime time.Duration
	// Age is the age of the newest interval.
	Age time.Duration
}

// Estimator estimates the event time of one engine. It is not safe for concurrent
// use.
type Estimator struct {
	incarnation int64
	// spans holds the current span of each run of the latest report, by run ID.
	spans map[string]*span
	// lastAt is the time of the latest report, and lastQuiet is true if no prompt
	// waited or was in prefill then.
	lastAt    time.Time
	lastQuiet bool
	// generation numbers the reports. It tells the runs of the latest report from
	// those that have ended.
	generation uint64
	// intervals holds the newest intervals as a ring, of which next is the oldest
	// entry once it is full.
	intervals []interval
	next      int
}

// interval is a measured time between two events.
type interval struct {
	length time.Duration
	at     time.Time
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{spans: make(map[string]*span), intervals: make([]interval, 0, maxIntervals)}
}

// Observe adds a report of the engine that arrived at now.
func (e *Estimator) Observe(r directory.Report, now time.Time) {
	if r.Incarnation != e.incarnation {
		e.reset(r.Incarnation)
	}
	quiet := r.Waiting == 0
	elapsed := now.Sub(e.lastAt)
	if !quiet || !e.lastQuiet || elapsed <= 0 || elapsed > maxReportGap {
		clear(e.spans)
	}
	e.lastAt, e.lastQuiet = now, quiet
	if !quiet {
		return
	}
	e.generation++
	for i := range r.Runs {
		e.observeRun(&r.Runs[i], now)
	}
	for id, s := range e.spans {
		if s.generation != e.generation {
			delete(e.spans, id)
		}
	}
}

func (e *Estimator) reset(incarnation int64) {
	e.incarnation = incarnation
	clear(e.spans)
	e.intervals, e.next = e.intervals[:0], 0
	e.lastQuiet = false
}

func (e *Estimator) observeRun(r *directory.Run, now time.Time) {
	s := e.spans[r.ID]
	if s == nil {
		e.spans[r.ID] = &span{events: r.Events, generation: e.generation}
		return
	}
	if s.generation == e.generation {
		// Two runs with one ID cannot be told apart.
		s.restart(r.Events)
		return
	}
	s.generation = e.generation
	if length, ok := s.observe(r.Events, now); ok {
		e.add(interval{length: length, at: now})
	}
}

func (e *Estimator) add(i interval) {
	if len(e.intervals) < maxIntervals {
		e.intervals = append(e.intervals, i)
		return
	}
	e.intervals[e.next] = i
	e.next = (e.next + 1) % maxIntervals
}

// newest returns the n-th newest interval, from 0.
func (e *Estimator) newest(n int) interval {
	return e.intervals[(e.next+len(e.intervals)-1-n)%len(e.intervals)]
}

// Estimate returns the event time at now.
func (e *Estimator) Estimate(now time.Time) Estimate {
	if len(e.intervals) < minIntervals {
		return Estimate{}
	}
	newestAt := e.newest(0).at
	age := now.Sub(newestAt)
	if age > maxAge {
		return Estimate{}
	}
	var buffer [maxIntervals]time.Duration
	lengths := buffer[:0]
	for n := range e.intervals {
		i := e.newest(n)
		if n >= minIntervals && newestAt.Sub(i.at) > window {
			break
		}
		lengths = append(lengths, i.length)
	}
	slices.Sort(lengths)
	middle := len(lengths) / 2
	return Estimate{EventTime: (lengths[middle] + lengths[(len(lengths)-1)/2]) / 2, Age: age}
}
