package reservation

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the measured rates. It spans more than a
// hundred reports, so that neither one step of a batch nor the end of one run dominates.
const rateTimeConstant = 2 * time.Second

// rate is an exponentially weighted mean of an amount per second.
type rate float64

// add records that the amount occurred in the elapsed time.
func (r *rate) add(amount float64, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	*r += rate(weight * (amount/elapsed.Seconds() - float64(*r)))
}

// timeFor returns the time in which the amount is expected to occur, at least
// minRetryIn, or 0 if it exceeds maxRetryIn.
func (r rate) timeFor(amount float64) time.Duration {
	seconds := amount / float64(r)
	if r <= 0 || seconds > maxRetryIn.Seconds() {
		return 0
	}
	return max(minRetryIn, time.Duration(seconds*float64(time.Second)))
}
