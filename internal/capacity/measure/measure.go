package measure

import (
	"runtime"
	"time"

	"github.com/flamingohold/flamingohold/internal/capacity/slope"
)

const (
	// A duration is measured in runs of runTime each. The minimum of the runs
	// counts, because other work on the machine can only add time.
	runs    = 5
	runTime = 30 * time.Millisecond
)

// Series is one quantity measured at several sizes.
type Series struct {
	// Name identifies the quantity, Unit is its unit, and SizeUnit is what the
	// size counts, such as "account".
	Name     string        `json:"name"`
	Unit     string        `json:"unit"`
	SizeUnit string        `json:"per"`
	Points   []slope.Point `json:"points"`
	Line     slope.Line    `json:"line"`
}

// definition defines how to measure a series.
type definition struct {
	name     string
	unit     string
	sizeUnit string
	sizes    []int
	// measureAt returns the quantity at a size.
	measureAt func(size int) float64
}

// Run measures each series for whose name accept returns true, and passes it to
// done as soon as it is measured.
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
	s := Series{Name: d.name, Unit: d.unit, SizeUnit: d.sizeUnit}
	for _, size := range d.sizes {
		s.Points = append(s.Points, slope.Point{X: float64(size), Y: d.measureAt(size)})
	}
	s.Line = slope.Fit(s.Points)
	return s
}

// heapBytes returns the live heap that the result of build occupies, in bytes. It
// does not count the input of build, which it keeps alive meanwhile.
func heapBytes(input any, build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	runtime.KeepAlive(input)
	return float64(after) - float64(before)
}

// liveHeap returns the size of the heap in bytes after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// nanoseconds returns the duration of one call in nanoseconds: the minimum over
// the runs of the mean of each. The first call is not measured.
func nanoseconds(call func()) float64 {
	call()
	minimum := 0.0
	for i := range runs {
		mean := meanNanoseconds(call)
		if i == 0 || mean < minimum {
			minimum = mean
		}
	}
	return minimum
}

// meanNanoseconds returns the mean duration of the calls of one run.
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
