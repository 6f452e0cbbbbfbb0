package promptblock

import (
	"slices"
	"sync"
	"time"
)

const (
	// blockCrashes is the number of separate crashes from which a part is blocked,
	// and repeatCrashes the number from which a request that ended its engine is not
	// sent to another one.
	blockCrashes  = 3
	repeatCrashes = 2
	// simultaneous is the time within which crashes count as one, because one
	// failure may end several engines at once. simultaneousUnproven applies to a part
	// that no request survived so far.
	simultaneous         = 300 * time.Millisecond
	simultaneousUnproven = 100 * time.Millisecond
	// firstTrial is the time after the last crash until a blocked part is tried
	// again. It doubles with each further crash up to maxTrial.
	firstTrial = 15 * time.Second
	maxTrial   = 10 * time.Minute
	// trialInterval is the time between two requests of one router that are sent
	// although they contain the same blocked parts.
	trialInterval = time.Second
	// recordLifetime is how long crashes are kept.
	recordLifetime = time.Hour
	// maxRecords bounds the crashes that are kept; the oldest that block no part are
	// dropped.
	maxRecords = 64
	// maxParts bounds the parts of a crash.
	maxParts = 32
)

// List holds the evidence on parts of prompts. It is safe for concurrent use.
type List struct {
	onChange func(Change)

	mu sync.Mutex
	// records holds the crashes, the oldest first.
	records []*record
	// blocked holds the parts that are blocked.
	blocked []string
	// successes holds the parts with which a request of this router got an event.
	successes *successes
	// watchers are the requests that have not survived the beginning of their answer.
	watchers map[*watcher]struct{}
	// lastTrial is when this router sent a request with the blocked parts, by the
	// parts.
	lastTrial map[string]time.Time
}

// New returns a list without evidence. The function onChange is called whenever
// the blocked parts change, with the list's lock held.
func New(onChange func(Change)) *List {
	return &List{onChange: onChange, successes: newSuccesses(), watchers: make(map[*watcher]struct{}), lastTrial: make(map[string]time.Time)}
}

// RecordCrash records that an engine ended while a request had no event.
func (l *List) RecordCrash(c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(c.At, func() { l.add(c) })
}

// RecordSuccess records that requests with the parts get events.
func (l *List) RecordSuccess(parts []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range parts {
		l.successes.record(p, now)
	}
	if !l.implicated(parts) {
		return
	}
	l.update(now, func() {
		for _, r := range l.records {
			r.cleared = union(r.cleared, intersection(r.Parts, parts))
		}
	})
}

// update changes the records and calls onChange if the blocked parts change.
func (l *List) update(now time.Time, apply func()) {
	before := l.blocked
	apply()
	l.blocked = l.blockedParts(now)
	c := Change{Blocked: difference(l.blocked, before), Cleared: difference(before, l.blocked), Crashes: len(l.records)}
	if len(c.Blocked)+len(c.Cleared) > 0 {
		l.onChange(c)
	}
	if len(c.Blocked) > 0 {
		l.cancelWatched()
	}
}

// Decision states whether a request may be sent.
type Decision struct {
	// Blocked are the blocked parts of the request.
	Blocked []string
	// Refused is true if the request must not be sent.
	Refused bool
	// RetryAfter is the time until the parts are tried again.
	RetryAfter time.Duration
}

// Decide returns whether a request with the parts may be sent now. The function
// mayTry reports whether this router tries blocked parts again on behalf of all.
func (l *List) Decide(parts []string, mayTry func(blocked []string) bool, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Decision{Blocked: intersection(parts, l.blocked)}
	if len(d.Blocked) == 0 {
		return d
	}
	d.RetryAfter = trialInterval
	due := true
	if last, count := l.sufficient(d.Blocked); count > 0 {
		wait := trialDelay(count) - now.Sub(last)
		d.RetryAfter = max(trialInterval, wait)
		due = wait <= 0 && mayTry(d.Blocked)
	}
	d.Refused = !due || !l.takeTrial(d.Blocked, now)
	return d
}

// MayRepeat reports whether a request with the parts that ended its engine may be
// sent to another one.
func (l *List) MayRepeat(parts []string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range parts {
		if separate(l.crashes(p, now, anyRecord), simultaneousUnproven) >= repeatCrashes {
			return false
		}
	}
	return true
}

// add adds a crash unless it is known and returns its record, nil if it has no
// parts or is dropped as too old.
func (l *List) add(c Crash) *record {
	c.Parts = c.Parts[:min(len(c.Parts), maxParts)]
	if len(c.Parts) == 0 {
		return nil
	}
	at := len(l.records)
	for i, r := range l.records {
		if r.key() == c.key() {
			return r
		}
		if r.At.After(c.At) {
			at = min(at, i)
		}
	}
	added := &record{Crash: c, proven: l.successes.among(c.Parts)}
	l.records = slices.Insert(l.records, at, added)
	newest := l.records[len(l.records)-1].At
	for newest.Sub(l.records[0].At) > recordLifetime {
		l.records = slices.Delete(l.records, 0, 1)
	}
	if len(l.records) > maxRecords {
		drop := l.leastNeeded()
		l.records = slices.Delete(l.records, drop, drop+1)
	}
	if !slices.Contains(l.records, added) {
		return nil
	}
	return added
}

// leastNeeded returns the index of the oldest record that blocks no part, or of
// the oldest one if half of the records or more block a part.
func (l *List) leastNeeded() int {
	needed := 0
	oldest := -1
	for i, r := range l.records {
		if slices.ContainsFunc(l.blocked, r.implicates) {
			needed++
		} else if oldest < 0 {
			oldest = i
		}
	}
	if oldest < 0 || needed >= maxRecords/2 {
		return 0
	}
	return oldest
}

// implicated reports whether one of the parts may have caused a crash.
func (l *List) implicated(parts []string) bool {
	for _, r := range l.records {
		if slices.ContainsFunc(parts, r.implicates) {
			return true
		}
	}
	return false
}

// blockedParts returns the parts that are blocked. A part that succeeded before
// is blocked only for crashes that no other blocked part explains.
func (l *List) blockedParts(now time.Time) []string {
	var unproven, proven []string
	for _, p := range l.implicatedParts() {
		if l.proven(p) {
			proven = append(proven, p)
		} else if separate(l.crashes(p, now, anyRecord), simultaneousUnproven) >= blockCrashes {
			unproven = append(unproven, p)
		}
	}
	blocked := unproven
	for _, p := range proven {
		unexplained := func(r *record) bool { return !slices.ContainsFunc(unproven, r.implicates) }
		if separate(l.crashes(p, now, unexplained), simultaneous) >= blockCrashes {
			blocked = append(blocked, p)
		}
	}
	return blocked
}

// implicatedParts returns the parts that may have caused a crash, each once.
func (l *List) implicatedParts() []string {
	var all []string
	for _, r := range l.records {
		all = union(all, difference(r.Parts, r.cleared))
	}
	return all
}

// proven reports whether a request with the part got an event before one of the
// crashes.
func (l *List) proven(part string) bool {
	return slices.ContainsFunc(l.records, func(r *record) bool { return slices.Contains(r.proven, part) })
}

func anyRecord(*record) bool { return true }

// crashes returns the times of the accepted crashes that the part may have
// caused, the oldest first.
func (l *List) crashes(part string, now time.Time, accept func(*record) bool) []time.Time {
	var times []time.Time
	for _, r := range l.records {
		if r.implicates(part) && now.Sub(r.At) <= recordLifetime && accept(r) {
			times = append(times, r.At)
		}
	}
	return times
}

// separate returns how many of the times, the oldest first, are further apart than
// the span.
func separate(times []time.Time, span time.Duration) int {
	count := 0
	var last time.Time
	for _, t := range times {
		if count == 0 || t.Sub(last) > span {
			count++
			last = t
		}
	}
	return count
}

// sufficient returns the number of crashes whose blocked parts are all among the
// given ones, and the time of the last.
func (l *List) sufficient(parts []string) (last time.Time, count int) {
	for _, r := range l.records {
		involved := slices.DeleteFunc(slices.Clone(l.blocked), func(p string) bool { return !r.implicates(p) })
		if len(involved) == 0 || len(difference(involved, parts)) > 0 {
			continue
		}
		count++
		last = r.At
	}
	return last, count
}

// trialDelay returns the time after the last of the crashes until the next trial.
func trialDelay(crashes int) time.Duration {
	delay := firstTrial
	for range crashes - blockCrashes {
		if delay *= 2; delay >= maxTrial {
			return maxTrial
		}
	}
	return delay
}

// takeTrial reports whether a request with the blocked parts may be sent as a
// trial, and records it.
func (l *List) takeTrial(parts []string, now time.Time) bool {
	key := Crash{Parts: parts}.key()
	if last, tried := l.lastTrial[key]; tried && now.Sub(last) < trialInterval {
		return false
	}
	if len(l.lastTrial) >= maxRecords {
		clear(l.lastTrial)
	}
	l.lastTrial[key] = now
	return true
}
