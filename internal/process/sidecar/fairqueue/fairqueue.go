package fairqueue

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/request/work"
)

const (
	// thresholdFactor is the number of entries that an account may hold for each
	// free entry, per unit of its weight.
	thresholdFactor = 4
	// priorityFactor divides the weight for each level of lower urgency.
	priorityFactor = 4
	// maxPrioritySteps is the maximum number of levels that divide the weight.
	maxPrioritySteps = 4
	// defaultOutputTokens is the expected output of work without an expected
	// number of tokens, unless its output limit is lower.
	defaultOutputTokens = 256
	// maxBypasses is how often later work may overtake work that is next in order
	// but was not admitted.
	maxBypasses = 16
	// lookahead is the number of flows whose heads Select tries.
	lookahead = 4
)

// Queue holds waiting work. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	capacity int
	fair     bool
	// virtual is the virtual time: the highest start tag of charged work, 0 while
	// the queue is empty.
	virtual float64
	// sequence numbers the entries in order of arrival.
	sequence uint64
	entries  map[string]*entry
	// flows holds the accounts with waiting work or a finish tag above virtual.
	flows map[string]*flow
}

type entry struct {
	work     work.Work
	sequence uint64
	// offered is true once Next or Select has returned the entry.
	offered bool
	// expired is true once Expired has returned the entry.
	expired bool
	// bypasses is how often later work overtook the entry.
	bypasses int
}

// flow is the waiting work of one account.
type flow struct {
	// waiting is sorted by priority, deadline and arrival, or by arrival alone if
	// the queue is not fair.
	waiting []*entry
	// start is the start tag of the head, valid while waiting is not empty.
	start float64
	// finish is the finish tag of the work last charged.
	finish float64
}

// New returns an empty queue for at most capacity entries. If fair is false,
// the order is that of arrival.
func New(capacity int, fair bool) *Queue {
	return &Queue{
		capacity: capacity,
		fair:     fair,
		entries:  make(map[string]*entry),
		flows:    make(map[string]*flow),
	}
}

// Configure replaces the capacity and the order. Waiting work above the new
// capacity stays.
func (q *Queue) Configure(capacity int, fair bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = capacity
	if fair == q.fair {
		return
	}
	q.fair = fair
	q.virtual = 0
	q.flows = make(map[string]*flow)
	for _, e := range q.entriesByArrival() {
		q.insert(e)
	}
}

// entriesByArrival returns the entries in order of arrival.
func (q *Queue) entriesByArrival() []*entry {
	return slices.SortedFunc(maps.Values(q.entries), func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
}

// Push adds work and reports whether there was room. It rejects work with the
// identifier of waiting work.
func (q *Queue) Push(w work.Work, _ time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.entries[w.ID]; ok || !q.hasRoom(w) {
		return false
	}
	q.sequence++
	e := &entry{work: w, sequence: q.sequence}
	q.entries[w.ID] = e
	q.insert(e)
	return true
}

func (q *Queue) insert(e *entry) {
	f := q.flow(e.work)
	if !q.fair {
		f.waiting = append(f.waiting, e)
		return
	}
	f.insert(e, q.virtual)
}

// Next returns the next work in order without removing it.
func (q *Queue) Next() (work.Work, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.first()
	if f == nil {
		return work.Work{}, false
	}
	f.waiting[0].offered = true
	return f.waiting[0].work, true
}

// Select calls admit with the heads of the first four flows in fair order, and
// removes and returns the first work that admit accepts. Work that is not
// accepted is overtaken at most 16 times, so that small work does not starve
// large work. Admit must not use the queue.
func (q *Queue) Select(admit func(work.Work) bool) (work.Work, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	flows := q.candidates()
	for i, f := range flows {
		e := f.waiting[0]
		if admit(e.work) {
			countBypasses(flows[:i])
			e.offered = true
			q.remove(e)
			return e.work, true
		}
		if e.bypasses >= maxBypasses {
			break
		}
	}
	return work.Work{}, false
}

// countBypasses records that later work overtook the heads of the flows.
func countBypasses(flows []*flow) {
	for _, f := range flows {
		f.waiting[0].bypasses++
	}
}

// Remove removes work that was dispatched, revoked or has expired, and reports
// whether it was in the queue. The account is charged for work that Next has
// returned and Expired has not.
func (q *Queue) Remove(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	q.remove(e)
	return true
}

// Discard removes work that will not run, without charging the account, and
// reports whether it was in the queue.
func (q *Queue) Discard(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	e.offered = false
	q.remove(e)
	return true
}

// Expired returns the work whose deadline has passed, without removing it, in
// order of arrival.
func (q *Queue) Expired(now time.Time) []work.Work {
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []*entry
	for _, e := range q.entries {
		if now.After(e.work.Deadline) {
			e.expired = true
			expired = append(expired, e)
		}
	}
	slices.SortFunc(expired, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return workOf(expired)
}

// Position returns the number of entries that are expected to be dequeued
// before new work of the account.
func (q *Queue) Position(w work.Work) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.fair {
		return len(q.entries)
	}
	own := 0
	if f, ok := q.flows[w.Account]; ok {
		own = len(f.waiting)
	}
	position := own
	for name, f := range q.flows {
		if name != w.Account {
			position += min(len(f.waiting), own+1)
		}
	}
	return position
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries)
}

// hasRoom reports whether the capacity and the account's dynamic threshold
// allow another entry.
func (q *Queue) hasRoom(w work.Work) bool {
	free := q.capacity - len(q.entries)
	if free <= 0 || !q.fair {
		return free > 0
	}
	f, ok := q.flows[w.Account]
	if !ok {
		return true
	}
	return len(f.waiting) < free*thresholdFactor*max(1, w.Weight)
}

// flow returns the flow of the work and creates it if necessary. All work
// shares one flow if the queue is not fair.
func (q *Queue) flow(w work.Work) *flow {
	name := q.flowName(w)
	f, ok := q.flows[name]
	if !ok {
		f = &flow{}
		q.flows[name] = f
	}
	return f
}

func (q *Queue) flowName(w work.Work) string {
	if !q.fair {
		return ""
	}
	return w.Account
}

// first returns the flow with the lowest start tag, nil if no work waits.
func (q *Queue) first() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) > 0 && (best == nil || f.before(best)) {
			best = f
		}
	}
	return best
}

// candidates returns the first flows in fair order, at most lookahead.
func (q *Queue) candidates() []*flow {
	flows := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		if len(f.waiting) > 0 {
			flows = append(flows, f)
		}
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return flows[:min(len(flows), lookahead)]
}

func (q *Queue) remove(e *entry) {
	delete(q.entries, e.work.ID)
	f := q.flow(e.work)
	i := slices.Index(f.waiting, e)
	f.waiting = slices.Delete(f.waiting, i, i+1)
	if e.offered && !e.expired {
		q.charge(f, e.work)
	}
	if i == 0 {
		f.start = max(q.virtual, f.finish)
	}
	if len(f.waiting) == 0 {
		q.prune()
	}
}

// charge advances the account's finish tag and the virtual time for dequeued
// work.
func (q *Queue) charge(f *flow, w work.Work) {
	start := max(f.start, f.finish)
	f.finish = start + cost(w)/weight(w)
	q.virtual = max(q.virtual, start)
}

// prune removes idle accounts whose finish tag no longer affects their next
// start tag.
func (q *Queue) prune() {
	for name, f := range q.flows {
		if len(f.waiting) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
	if len(q.entries) == 0 {
		q.virtual = 0
		clear(q.flows)
	}
}

// insert adds the entry. If more urgent work of the account becomes the head,
// the start tag stays the same.
func (f *flow) insert(e *entry, virtual float64) {
	if len(f.waiting) == 0 {
		f.start = max(virtual, f.finish)
	}
	i, _ := slices.BinarySearchFunc(f.waiting, e, compare)
	f.waiting = slices.Insert(f.waiting, i, e)
}

// before reports whether the head of f precedes the head of other.
func (f *flow) before(other *flow) bool {
	if f.start != other.start {
		return f.start < other.start
	}
	return compare(f.waiting[0], other.waiting[0]) < 0
}

func compare(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.work.Priority, b.work.Priority),
		a.work.Deadline.Compare(b.work.Deadline),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// cost returns the expected number of tokens of the work, 1 for work without a
// model.
func cost(w work.Work) float64 {
	switch {
	case w.ExpectedTokens > 0:
		return float64(w.ExpectedTokens)
	case w.Model == "":
		return 1
	case w.MaxTokens > 0:
		return float64(w.PromptTokens + min(w.MaxTokens, defaultOutputTokens))
	}
	return float64(w.PromptTokens + defaultOutputTokens)
}

// weight returns the account's weight, divided by priorityFactor for each level
// of lower urgency.
func weight(w work.Work) float64 {
	share := float64(max(1, w.Weight))
	for range min(max(0, w.Priority), maxPrioritySteps) {
		share /= priorityFactor
	}
	return share
}

func workOf(entries []*entry) []work.Work {
	result := make([]work.Work, 0, len(entries))
	for _, e := range entries {
		result = append(result, e.work)
	}
	return result
}
