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
	// thresholdFactor is the number of entries that an account of weight 1 may
	// hold for each free entry.
	thresholdFactor = 4
	// priorityFactor divides the weight for each step of lower urgency.
	priorityFactor = 4
	// maxPrioritySteps bounds the division of the weight.
	maxPrioritySteps = 4
	// defaultOutputTokens is the expected output of work that states no cost
	// and no bound.
	defaultOutputTokens = 256
	// maxBypasses is how often later work may be handed out before work whose
	// turn it is but that does not fit.
	maxBypasses = 16
	// lookahead is the number of lines that Select tries.
	lookahead = 4
)

// Queue holds waiting work. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	capacity int
	fair     bool
	// virtual is the start tag of the work last handed out.
	virtual float64
	// sequence numbers the entries in order of arrival.
	sequence uint64
	entries  map[string]*entry
	// lines holds the accounts with waiting work or a finish tag above virtual.
	lines map[string]*line
}

type entry struct {
	work     work.Work
	sequence uint64
	// offered is true once the entry was returned as the next one.
	offered bool
	// expired is true once the entry was returned as expired.
	expired  bool
	bypasses int
}

// line is the waiting work of one account.
type line struct {
	// waiting is sorted by priority, deadline and arrival.
	waiting []*entry
	// start is the start tag of the head, valid while waiting is not empty.
	start float64
	// finish is the finish tag of the work last handed out.
	finish float64
}

// New returns an empty queue for at most capacity entries. If fair is false,
// it hands work out in order of arrival.
func New(capacity int, fair bool) *Queue {
	return &Queue{
		capacity: capacity,
		fair:     fair,
		entries:  make(map[string]*entry),
		lines:    make(map[string]*line),
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
	q.lines = make(map[string]*line)
	for _, e := range q.arrivals() {
		q.insert(e)
	}
}

// arrivals returns the entries in order of arrival.
func (q *Queue) arrivals() []*entry {
	return slices.SortedFunc(maps.Values(q.entries), func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
}

// Push adds work and reports whether there was room. Work with the identifier
// of waiting work is refused.
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
	l := q.line(e.work)
	if !q.fair {
		l.waiting = append(l.waiting, e)
		return
	}
	l.insert(e, q.virtual)
}

// Next returns the next work in order without removing it.
func (q *Queue) Next() (work.Work, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.first()
	if l == nil {
		return work.Work{}, false
	}
	l.waiting[0].offered = true
	return l.waiting[0].work, true
}

// Select hands the work in fair order to admit, and removes and returns the
// first that it accepts. It looks past the first in order at most 16
// times, so that large work is not starved by small work. Admit must not use
// the queue.
func (q *Queue) Select(admit func(work.Work) bool) (work.Work, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lines := q.candidates()
	for i, l := range lines {
		e := l.waiting[0]
		if admit(e.work) {
			pass(lines[:i])
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

// pass records that later work was handed out before the heads of the lines.
func pass(lines []*line) {
	for _, l := range lines {
		l.waiting[0].bypasses++
	}
}

// Remove takes the work out, whether it was handed out, revoked or expired, and
// reports whether it was there. The account is charged for work that Next
// returned and Expired did not.
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

// Discard takes work out that will not run, without a charge to the account,
// and reports whether it was there.
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
	return works(expired)
}

// Position returns the number of entries of the account's own line and of the
// others that are expected to be handed out before new work of the account.
func (q *Queue) Position(w work.Work) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.fair {
		return len(q.entries)
	}
	own := 0
	if l, ok := q.lines[w.Account]; ok {
		own = len(l.waiting)
	}
	position := own
	for name, l := range q.lines {
		if name != w.Account {
			position += min(len(l.waiting), own+1)
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

func (q *Queue) hasRoom(w work.Work) bool {
	free := q.capacity - len(q.entries)
	if free <= 0 || !q.fair {
		return free > 0
	}
	l, ok := q.lines[w.Account]
	if !ok {
		return true
	}
	return len(l.waiting) < free*thresholdFactor*max(1, w.Weight)
}

// line returns the line that the work waits in. All work shares one line if the
// queue is not fair.
func (q *Queue) line(w work.Work) *line {
	name := q.lineName(w)
	l, ok := q.lines[name]
	if !ok {
		l = &line{}
		q.lines[name] = l
	}
	return l
}

func (q *Queue) lineName(w work.Work) string {
	if !q.fair {
		return ""
	}
	return w.Account
}

// first returns the line with the lowest start tag, nil if no work waits.
func (q *Queue) first() *line {
	var best *line
	for _, l := range q.lines {
		if len(l.waiting) > 0 && (best == nil || l.before(best)) {
			best = l
		}
	}
	return best
}

// candidates returns the first lines in fair order.
func (q *Queue) candidates() []*line {
	lines := make([]*line, 0, len(q.lines))
	for _, l := range q.lines {
		if len(l.waiting) > 0 {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b *line) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return lines[:min(len(lines), lookahead)]
}

func (q *Queue) remove(e *entry) {
	delete(q.entries, e.work.ID)
	l := q.line(e.work)
	i := slices.Index(l.waiting, e)
	l.waiting = slices.Delete(l.waiting, i, i+1)
	if e.offered && !e.expired {
		q.charge(l, e.work)
	}
	if i == 0 {
		l.start = max(q.virtual, l.finish)
	}
	if len(l.waiting) == 0 {
		q.prune()
	}
}

// charge moves the account's finish tag and the virtual time for work that was
// handed out.
func (q *Queue) charge(l *line, w work.Work) {
	start := max(l.start, l.finish)
	l.finish = start + cost(w)/weight(w)
	q.virtual = max(q.virtual, start)
}

// prune forgets the accounts whose past no longer matters for their next tag.
func (q *Queue) prune() {
	for name, l := range q.lines {
		if len(l.waiting) == 0 && l.finish <= q.virtual {
			delete(q.lines, name)
		}
	}
	if len(q.entries) == 0 {
		q.virtual = 0
		clear(q.lines)
	}
}

// insert adds the entry. The head keeps its tag when more urgent work of the
// same account takes its place.
func (l *line) insert(e *entry, virtual float64) {
	if len(l.waiting) == 0 {
		l.start = max(virtual, l.finish)
	}
	i, _ := slices.BinarySearchFunc(l.waiting, e, compare)
	l.waiting = slices.Insert(l.waiting, i, e)
}

// before reports whether the head of l goes before the head of other.
func (l *line) before(other *line) bool {
	if l.start != other.start {
		return l.start < other.start
	}
	return compare(l.waiting[0], other.waiting[0]) < 0
}

func compare(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.work.Priority, b.work.Priority),
		a.work.Deadline.Compare(b.work.Deadline),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// cost returns the expected tokens of the work.
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

// weight returns the account's weight, divided for work of lower urgency.
func weight(w work.Work) float64 {
	share := float64(max(1, w.Weight))
	for range min(max(0, w.Priority), maxPrioritySteps) {
		share /= priorityFactor
	}
	return share
}

func works(entries []*entry) []work.Work {
	result := make([]work.Work, 0, len(entries))
	for _, e := range entries {
		result = append(result, e.work)
	}
	return result
}
