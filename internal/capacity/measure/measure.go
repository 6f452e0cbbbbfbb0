package measure

import (
	"runtime"
	"time"

	"github.com/flamingohold/flamingohold/internal/capacity/slope"
)

const (
	// runs and runTime set how long a time is measured. The least of the runs
	// counts, because other work on the machine only adds time.
	runs    = 5
	runTime = 30 * time.Millisecond
)

// Series is one quantity measured at several sizes.
type Series struct {
	// Name states the quantity, Unit its unit and Per what the size counts.
	Name   string        `json:"name"`
	Unit   string        `json:"unit"`
	Per    string        `json:"per"`
	Points []slope.Point `json:"points"`
	Line   slope.Line    `json:"line"`
}

// definition is a series that is to be measured.
type definition struct {
	name  string
	unit  string
	per   string
	sizes []int
	at    func(size int) float64
}

// Run measures the series whose names are accepted and passes each on as soon
// as it is done.
func Run(accept func(name string) bool, done func(Series)) {
	for _, d := range definitions() {
		if accept(d.name) {
			done(d.measure())
		}
	}
}

func definitions() []definition {
	var all []definition
	all = append(all, routingDefinitions()...)
	all = append(all, quotaDefinitions()...)
	all = append(all, admissionDefinitions()...)
	all = append(all, messageDefinitions()...)
	return append(all, configurationDefinitions()...)
}

func (d definition) measure() Series {
	s := Series{Name: d.name, Unit: d.unit, Per: d.per}
	for _, size := range d.sizes {
		s.Points = append(s.Points, slope.Point{X: float64(size), Y: d.at(size)})
	}
	s.Line = slope.Fit(s.Points)
	return s
}

// heapBytes returns the live heap that the result of build holds, without that
// of its input.
func heapBytes(input any, build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	runtime.KeepAlive(input)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// nanoseconds returns the time of one call.
func nanoseconds(call func()) float64 {
	call()
	best := 0.0
	for i := range runs {
		mean := meanNanoseconds(call)
		if i == 0 || mean < best {
			best = mean
		}
	}
	return best
}

func meanNanoseconds(call func()) float64 {
	calls := 0
	begin := time.Now()
	for time.Since(begin) < runTime {
		for range 10 {
			call()
		}
		calls += 10
	}
	return float64(time.Since(begin)) / float64(calls)
}
