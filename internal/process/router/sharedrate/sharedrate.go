package sharedrate

import "math"

// PerSecond returns the rate, in requests per second, at which the router with the
// rank, from 0, may send so that all routers together stay within the common rate.
// It is 0 for a router whose rank is too high to take part: each router may send
// one request ahead of its rate, so that not more than about half as many routers
// as the rate allows requests in a second may send.
func PerSecond(common float64, rank, routers int) float64 {
	parts := min(max(1, routers), 1+int(math.Floor(common/2)))
	if rank >= parts {
		return 0
	}
	return common / float64(parts)
}
