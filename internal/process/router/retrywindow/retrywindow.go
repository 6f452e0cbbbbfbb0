package retrywindow

import (
	"sync"
	"time"
)

const (
	// windowSlices is the number of parts of the sliding window.
	windowSlices = 10
	// safetyMargin is the fraction of the bound that is not used, because the
	// windows of the routers do not slide at the same time.
	safetyMargin = 0.4
	// minRouters is the minimum number of routers assumed to share the slack, for
	// a process that has not discovered the others yet.
	minRouters = 4
)

// Bound is the maximum number of retries to a service from all routers together
// in each window: Ratio times the number of requests, plus Slack.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts the requests and retries of one router. It is safe for
// concurrent use.
type Budget struct {
	// routers returns the number of routers.
	routers func() int

	mu       sync.Mutex
	bound    Bound
	services map[string]*counts
}

// counts holds the requests and retries of one service by slice of the window.
type counts struct {
	// slice holds the numbers of the slices, counted from the Unix epoch.
	slice    [windowSlices]int64
	requests [windowSlices]int
	retries  [windowSlices]int
}

// New returns a budget for one router. The function routers returns the number
// of routers that share the bound.
func New(b Bound, routers func() int) *Budget {
	return &Budget{bound: b, routers: routers, services: make(map[string]*counts)}
}

// SetBound replaces the bound. A different window discards the counts.
func (b *Budget) SetBound(bound Bound) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bound.Window != b.bound.Window {
		b.services = make(map[string]*counts)
	}
	b.bound = bound
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.currentSlice(service, now)
	c.requests[i]++
}

// TryRetry reports whether a request may be sent again, and counts the retry if
// so.
func (b *Budget) TryRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.currentSlice(service, now)
	newestExpired := b.sliceNumber(now) - windowSlices
	requests, retries := 0, 0
	for j := range windowSlices {
		if c.slice[j] > newestExpired {
			requests += c.requests[j]
			retries += c.retries[j]
		}
	}
	slack := b.bound.Slack / float64(max(minRouters, b.routers()))
	if float64(retries+1) > (1-safetyMargin)*(b.bound.Ratio*float64(requests)+slack) {
		return false
	}
	c.retries[i]++
	return true
}

// sliceNumber returns the number of the slice at the time, counted from the
// Unix epoch.
func (b *Budget) sliceNumber(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(b.bound.Window)/windowSlices)
}

// currentSlice returns the counts of the service and the index of the current
// slice in them. It clears the slice if it still holds an earlier one.
func (b *Budget) currentSlice(service string, now time.Time) (*counts, int) {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	number := b.sliceNumber(now)
	i := int(number % windowSlices)
	if c.slice[i] != number {
		c.slice[i], c.requests[i], c.retries[i] = number, 0, 0
	}
	return c, i
}
