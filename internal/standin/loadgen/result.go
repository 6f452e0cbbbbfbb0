package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// StallThreshold is the gap between two tokens above which the excess
	// counts as stall time. It is an assumption: about 2.6 times the bound of
	// 76 ms on the time between tokens.
	StallThreshold = 200 * time.Millisecond

	maxRecorded = 10 * time.Minute
	digits      = 3
)

// Result is what callers saw of one load. Histograms are in microseconds.
type Result struct {
	// Sent counts prompts; the other counts are parts of it.
	Sent      int
	Completed int
	// Refused counts refusals before the first token by problem type.
	Refused map[string]int
	// Incomplete counts answers that ended with an explicit error.
	Incomplete int
	// Broken counts answers whose connection ended without end marker or error.
	Broken int
	// Unfinished counts answers that were still running when the load tool
	// stopped reading.
	Unfinished int
	// Truncated counts answers that looked complete and were not.
	Truncated int
	// LostTokens and DoubledTokens count tokens; Crossed and Mixed count
	// answers with tokens of another prompt or of two generations.
	LostTokens, DoubledTokens, Crossed, Mixed int
	// Skipped counts requests that were not sent because of the bound on
	// outstanding requests.
	Skipped int

	Tokens     int
	FirstToken *hdrhistogram.Histogram
	Gap        *hdrhistogram.Histogram
	// Stall holds the stall time of each answer.
	Stall *hdrhistogram.Histogram
	Total *hdrhistogram.Histogram

	Reads, ReadsCompleted   int
	Orders, OrdersCompleted int
	// OrdersDoubled counts orders that ran more than once, OrdersLost confirmed
	// orders that did not run, and OrdersFalselyRefused orders that ran although
	// they were refused as not run.
	OrdersDoubled, OrdersLost, OrdersFalselyRefused int
	Call                                            *hdrhistogram.Histogram

	// TokensBySecond and RefusedBySecond are indexed by the seconds since the
	// start of the load.
	TokensBySecond, RefusedBySecond []int
	// Duration is that of the arrivals.
	Duration time.Duration
}

func newResult(duration time.Duration) *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxRecorded.Microseconds(), digits)
	}
	return &Result{
		Refused:    make(map[string]int),
		FirstToken: histogram(), Gap: histogram(), Stall: histogram(), Total: histogram(), Call: histogram(),
		Duration: duration,
	}
}

// StallShare returns the stall time of all answers as a fraction of their total
// time.
func (r *Result) StallShare() float64 {
	total := r.Total.Mean() * float64(r.Total.TotalCount())
	if total == 0 {
		return 0
	}
	return r.Stall.Mean() * float64(r.Stall.TotalCount()) / total
}

// RefusedTotal returns the number of refused prompts.
func (r *Result) RefusedTotal() int {
	n := 0
	for _, count := range r.Refused {
		n += count
	}
	return n
}

// Violations returns the number of observations that the guarantees rule out.
func (r *Result) Violations() int {
	return r.LostTokens + r.DoubledTokens + r.Crossed + r.Mixed + r.Truncated +
		r.OrdersDoubled + r.OrdersLost + r.OrdersFalselyRefused
}

// record adds a duration to a histogram within its range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxRecorded).Microseconds())
}

func countSecond(counts *[]int, at time.Duration, n int) {
	second := int(at / time.Second)
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}
	(*counts)[second] += n
}
