package repeatbudget

import (
	"sync"
	"time"
)

const (
	// slices is the number of parts in which the window slides.
	slices = 10
	// reserve is the part of the bound that is not spent, as the routers'
	// windows do not slide together.
	reserve = 0.4
	// minRouters is the number of routers that share the slack at least, for a
	// process that has not found the others yet.
	minRouters = 4
)

// Bound limits the repeats to a service from all routers in each window: Ratio
// times the requests, and Slack.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts the requests and repeats of one router. It is safe for
// concurrent use.
type Budget struct {
	// routers returns the number of routers.
	routers func() int

	mu       sync.Mutex
	bound    Bound
	services map[string]*counts
}

// counts holds the requests and repeats by slice of the window.
type counts struct {
	slice    [slices]int64
	requests [slices]int
	repeats  [slices]int
}

// New returns a budget under the bound. The function routers returns the number
// of routers that share it.
func New(b Bound, routers func() int) *Budget {
	return &Budget{bound: b, routers: routers, services: make(map[string]*counts)}
}

// SetBound replaces the bound.
func (b *Budget) SetBound(bound Bound) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bound.Window != b.bound.Window {
		b.services = make(map[string]*counts)
	}
	b.bound = bound
}

// Request counts the first send of a request.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.at(service, now)
	c.requests[i]++
}

// Repeat reports whether a request may be sent once more, and counts it.
func (b *Budget) Repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.at(service, now)
	oldest := b.index(now) - slices
	requests, repeats := 0, 0
	for j := range slices {
		if c.slice[j] > oldest {
			requests += c.requests[j]
			repeats += c.repeats[j]
		}
	}
	slack := b.bound.Slack / float64(max(minRouters, b.routers()))
	if float64(repeats+1) > (1-reserve)*(b.bound.Ratio*float64(requests)+slack) {
		return false
	}
	c.repeats[i]++
	return true
}

func (b *Budget) index(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(b.bound.Window)/slices)
}

// at returns the counts of the service and the current slice.
func (b *Budget) at(service string, now time.Time) (*counts, int) {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	index := b.index(now)
	i := int(index % slices)
	if c.slice[i] != index {
		c.slice[i], c.requests[i], c.repeats[i] = index, 0, 0
	}
	return c, i
}
