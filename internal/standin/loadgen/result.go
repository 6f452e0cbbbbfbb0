package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// StallThreshold is the time between two tokens above which the excess
	// counts as stall time. It is about 2.6 times the target of 76 ms for the
	// time between tokens.
	StallThreshold = 200 * time.Millisecond

	// maxDuration and significantDigits set the range and the precision of the
	// histograms.
	maxDuration       = 10 * time.Minute
	significantDigits = 3
)

// Result counts the answers that callers received in one load. Histograms are in
// microseconds.
type Result struct {
	// Sent counts the prompts sent. Completed, Refused, Incomplete, Broken,
	// Unfinished and Truncated split this number.
	Sent      int
	Completed int
	// Refused counts refusals before the first token, by problem type.
	Refused map[string]int
	// Incomplete counts answers that ended with an explicit error.
	Incomplete int
	// Broken counts requests whose connection failed and answers that ended
	// without an end marker or an explicit error.
	Broken int
	// Unfinished counts answers that were still running when the load tool
	// cancelled them.
	Unfinished int
	// Truncated counts answers that have an end marker but not the expected
	// number of tokens.
	Truncated int
	// LostTokens and DuplicateTokens count tokens. WrongPrompt counts answers
	// with tokens of another prompt, MixedGenerations answers with tokens of more
	// than one generation.
	LostTokens, DuplicateTokens, WrongPrompt, MixedGenerations int
	// Skipped counts requests that were not sent because too many were
	// outstanding.
	Skipped int

	// Tokens counts the tokens received.
	Tokens int
	// FirstToken is the time to the first token from the intended send time.
	FirstToken *hdrhistogram.Histogram
	// Gap is the time between consecutive tokens.
	Gap *hdrhistogram.Histogram
	// Stall is the stall time of each answer with at least one token.
	Stall *hdrhistogram.Histogram
	// Total is the time from the intended send time to the end of the answer.
	Total *hdrhistogram.Histogram

	Reads, ReadsCompleted int
	// OrdersCompleted counts orders whose first request was confirmed.
	Orders, OrdersCompleted int
	// OrdersDuplicated counts orders that ran more than once, OrdersLost confirmed
	// orders that did not run, and OrdersFalselyRefused orders that ran although
	// they were refused as not run.
	OrdersDuplicated, OrdersLost, OrdersFalselyRefused int
	// Call is the latency of completed reads and orders.
	Call *hdrhistogram.Histogram

	// TokensBySecond and RefusedBySecond are indexed by the seconds since the
	// start of the load.
	TokensBySecond, RefusedBySecond []int
	// Duration is the time over which the requests arrive.
	Duration time.Duration
}

func newResult(duration time.Duration) *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
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

// Violations returns the number of faults that the guarantees of the system
// exclude.
func (r *Result) Violations() int {
	return r.LostTokens + r.DuplicateTokens + r.WrongPrompt + r.MixedGenerations + r.Truncated +
		r.OrdersDuplicated + r.OrdersLost + r.OrdersFalselyRefused
}

// recordDuration adds a duration, clamped to the range of the histogram.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxDuration).Microseconds())
}

// addToSecond adds n to the count of the second that contains the time.
func addToSecond(counts *[]int, at time.Duration, n int) {
	second := int(at / time.Second)
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}
	(*counts)[second] += n
}
