package waitqueue

import (
	"sort"
	"sync"
	"time"
)

const (
	// DefaultRequests is the default bound on the number of waiting requests.
	DefaultRequests = 512
	// DefaultBytes is the default bound on the bytes of all waiting bodies.
	DefaultBytes = 16 << 20
	// initialInterval is the assumed time between two requests that leave the queue
	// before it is known, and maxInterval bounds it: a longer pause was without load.
	initialInterval = 50 * time.Millisecond
	maxInterval     = time.Second
	// intervalWeight is the weight of the newest interval in the moving average.
	intervalWeight = 0.1
	// minRetryAfter is the shortest delay of a rejected request.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the limit of the delay. A caller that returns later than this
	// may find room much earlier at another router.
	maxRetryAfter = 5 * time.Second
	// maxBacklog bounds the time for which space is assigned to rejected requests.
	// Callers that gave up do not use theirs, and after a long overload the next
	// callers would be delayed too long.
	maxBacklog = 4 * maxRetryAfter
)

// Bounds bound the queue.
type Bounds struct {
	// Requests is the largest number of waiting requests, Bytes that of all their
	// bodies together. The default applies to a bound of 0.
	Requests, Bytes int
}

// Request describes a request that is to wait.
type Request struct {
	Service string
	// Priority is 0 for the most urgent request.
	Priority int
	// Arrived is when the router received the request.
	Arrived time.Time
	// Bytes is the size of the body.
	Bytes int
}

// Place is the place of a waiting request in the queue.
type Place struct {
	queue   *Queue
	request Request
	// sequence orders the requests that arrived at the same time.
	sequence uint64
	// waiting is true while the request is in the queue.
	waiting  bool
	turn     chan struct{}
	rejected chan struct{}
	// retryAfter is set before rejected is closed.
	retryAfter time.Duration
}

// Queue holds the waiting requests of a process. It is safe for concurrent use.
type Queue struct {
	bounds Bounds

	mu sync.Mutex
	// services holds the places of each service in order. No list is empty.
	services map[string][]*Place
	// requests and bytes are the sums over all places, and byPriority holds the
	// number of requests of each priority.
	requests, bytes int
	byPriority      map[int]int
	sequence        uint64
	// interval is the mean time between two requests that leave, and lastLeft the
	// time of the last one.
	interval time.Duration
	lastLeft time.Time
	// lastReturn is the time at which the queue is expected to have had space for all
	// rejected requests, one after the other.
	lastReturn time.Time
}

// New returns an empty queue.
func New(b Bounds) *Queue {
	if b.Requests <= 0 {
		b.Requests = DefaultRequests
	}
	if b.Bytes <= 0 {
		b.Bytes = DefaultBytes
	}
	return &Queue{bounds: b, services: make(map[string][]*Place), byPriority: make(map[int]int), interval: initialInterval}
}

// CanHold reports whether the empty queue could hold a body of the size.
func (q *Queue) CanHold(bytes int) bool { return bytes <= q.bounds.Bytes }

// Join adds the request to the queue. If it is full, the last requests in order are
// rejected in favour of this one. If this one is the last, Join returns nil and the
// time after which the caller may retry.
func (q *Queue) Join(r Request, now time.Time) (place *Place, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	p := &Place{queue: q, request: r, sequence: q.sequence, turn: make(chan struct{}, 1), rejected: make(chan struct{})}
	if !q.makeSpace(p, now) {
		return nil, q.delay(r, now)
	}
	at := q.position(p)
	list := append(q.services[r.Service], nil)
	copy(list[at+1:], list[at:])
	list[at] = p
	q.services[r.Service] = list
	q.count(p, 1)
	p.waiting = true
	if at == 0 {
		p.signalTurn()
	}
	return p, 0
}

// makeSpace rejects as many requests as the new one needs, but none before it in
// order. It returns false without a rejection if these are too few.
func (q *Queue) makeSpace(p *Place, now time.Time) bool {
	rejected, ok := q.rejections(p)
	for _, r := range rejected {
		q.remove(r)
		r.retryAfter = q.delay(r.request, now)
		close(r.rejected)
	}
	return ok
}

// rejections returns the places that makeSpace rejects, and false if these are too few.
func (q *Queue) rejections(p *Place) (rejected []*Place, ok bool) {
	requests, bytes := q.requests+1, q.bytes+p.request.Bytes
	taken := make(map[string]int, len(q.services))
	for requests > q.bounds.Requests || bytes > q.bounds.Bytes {
		candidate := q.last(taken)
		if candidate == nil || candidate.before(p) {
			return nil, false
		}
		taken[candidate.request.Service]++
		rejected = append(rejected, candidate)
		requests--
		bytes -= candidate.request.Bytes
	}
	return rejected, true
}

// Outlook is what Join would do with a request.
type Outlook struct {
	// IsFull is true if the request would be rejected.
	IsFull bool
	// Ahead is the number of requests of its service that would be before it, and
	// Queued the number of all requests in the queue.
	Ahead, Queued int
}

// Inspect returns what Join would do with the request, and changes nothing.
func (q *Queue) Inspect(r Request) Outlook {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := &Place{queue: q, request: r, sequence: q.sequence + 1}
	_, ok := q.rejections(p)
	return Outlook{IsFull: !ok, Ahead: q.position(p), Queued: q.requests}
}

// position returns the number of places of the service before the new one.
func (q *Queue) position(p *Place) int {
	list := q.services[p.request.Service]
	return sort.Search(len(list), func(i int) bool { return p.before(list[i]) })
}

// last returns the last place in order over all services, without the given number
// of places at the end of each service, nil if there is none.
func (q *Queue) last(without map[string]int) *Place {
	var last *Place
	for service, list := range q.services {
		i := len(list) - 1 - without[service]
		if i >= 0 && (last == nil || last.before(list[i])) {
			last = list[i]
		}
	}
	return last
}

// before reports whether the place is before the other one in order.
func (p *Place) before(other *Place) bool {
	switch {
	case p.request.Priority != other.request.Priority:
		return p.request.Priority < other.request.Priority
	case !p.request.Arrived.Equal(other.request.Arrived):
		return p.request.Arrived.Before(other.request.Arrived)
	default:
		return p.sequence < other.sequence
	}
}

// delay returns the time after which a rejected request may retry. The queue is
// expected to get space for one request in each interval, and each rejected request
// is assigned the next one, so that those rejected first return first. The time that
// the request has waited already counts. The delay approaches maxRetryAfter without
// reaching it, so that the order is kept.
func (q *Queue) delay(r Request, now time.Time) time.Duration {
	if q.lastReturn.Before(now) {
		q.lastReturn = now
	}
	q.lastReturn = q.lastReturn.Add(q.interval)
	if latest := now.Add(maxBacklog); q.lastReturn.After(latest) {
		q.lastReturn = latest
	}
	expected := (q.lastReturn.Sub(now) - max(0, now.Sub(r.Arrived))).Seconds()
	limit := (maxRetryAfter - minRetryAfter).Seconds()
	expected = max(0, expected)
	return minRetryAfter + time.Duration(expected*limit/(expected+limit)*float64(time.Second))
}

// Leave removes the request from the queue, if it is still there. The next request
// of the service may then look for room.
func (q *Queue) Leave(p *Place, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !p.waiting {
		return
	}
	q.remove(p)
	if !q.lastLeft.IsZero() {
		newest := min(maxInterval, max(0, now.Sub(q.lastLeft)))
		q.interval += time.Duration(intervalWeight * float64(newest-q.interval))
		q.interval = max(time.Millisecond, q.interval)
	}
	q.lastLeft = now
}

// remove removes a waiting place and signals the turn of the next one.
func (q *Queue) remove(p *Place) {
	service := p.request.Service
	list := q.services[service]
	at := sort.Search(len(list), func(i int) bool { return !list[i].before(p) })
	copy(list[at:], list[at+1:])
	list[len(list)-1] = nil
	list = list[:len(list)-1]
	p.waiting = false
	q.count(p, -1)
	if len(list) == 0 {
		delete(q.services, service)
		return
	}
	q.services[service] = list
	if at == 0 {
		list[0].signalTurn()
	}
}

func (q *Queue) count(p *Place, sign int) {
	q.requests += sign
	q.bytes += sign * p.request.Bytes
	q.byPriority[p.request.Priority] += sign
}

func (p *Place) signalTurn() {
	select {
	case p.turn <- struct{}{}:
	default:
	}
}

// Len returns the number of waiting requests of the priority.
func (q *Queue) Len(priority int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.byPriority[priority]
}

// IsFirst reports whether the request is the first one of its service, which alone
// may look for room.
func (p *Place) IsFirst() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	list := p.queue.services[p.request.Service]
	return len(list) > 0 && list[0] == p
}

// Turn returns a channel that receives a value each time the request becomes the
// first one of its service.
func (p *Place) Turn() <-chan struct{} { return p.turn }

// Rejected returns a channel that is closed if the request is rejected in favour of
// another one.
func (p *Place) Rejected() <-chan struct{} { return p.rejected }

// RetryAfter returns the time after which the caller of a rejected request may retry.
// It must be called only after Rejected is closed.
func (p *Place) RetryAfter() time.Duration { return p.retryAfter }
