package ledger

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
)

const (
	shards = 16
	// tick is the interval at which the binding changes.
	tick = 10 * time.Second
	// Window is how long a binding is valid after it was issued. It covers the age
	// of the last load report at the gateway and the transport of the attempt.
	Window = 900 * time.Second
)

// Ledger holds the attempts and keys of one sidecar incarnation. It is safe for
// concurrent use. The lock of a key shard is acquired before the lock of an
// attempt shard, and no two locks of the same kind are held at once.
type Ledger struct {
	incarnation string
	maxRecords  int64
	maxBytes    int64

	attempts [shards]attemptShard
	keys     [shards]keyShard

	// records is the number of recorded attempts, bytes the size of the stored
	// results.
	records atomic.Int64
	bytes   atomic.Int64
	closed  atomic.Bool

	started time.Time
	// latest is the latest time passed by any caller, in nanoseconds after
	// started. Bindings are checked against it, because a caller that was paused
	// between reading the clock and calling the ledger passes an outdated time.
	latest atomic.Int64
}

type attemptShard struct {
	mu      sync.Mutex
	records map[string]*record
}

type keyShard struct {
	mu sync.Mutex
	// executors maps a scoped key to the ID of the attempt that runs for it. The
	// executor's record exists as long as the entry does.
	executors map[string]string
}

// New returns an empty ledger for the incarnation. It keeps at most maxRecords
// attempts and maxBytes bytes of results.
func New(incarnation string, maxRecords int, maxBytes int64, now time.Time) *Ledger {
	l := &Ledger{
		incarnation: incarnation,
		maxRecords:  int64(maxRecords),
		maxBytes:    maxBytes,
		started:     now,
	}
	for i := range shards {
		l.attempts[i].records = make(map[string]*record)
		l.keys[i].executors = make(map[string]string)
	}
	return l
}

func (l *Ledger) attemptShard(id string) *attemptShard {
	return &l.attempts[xxhash.Sum64String(id)%shards]
}

func (l *Ledger) keyShard(key string) *keyShard {
	return &l.keys[xxhash.Sum64String(key)%shards]
}

// Binding returns the current binding, which new attempts should carry.
func (l *Ledger) Binding(now time.Time) string {
	ticks := l.observe(now).Sub(l.started) / tick
	return l.incarnation + "-" + strconv.FormatInt(int64(ticks), 10)
}

// observe records the time and returns the latest one recorded so far.
func (l *Ledger) observe(now time.Time) time.Time {
	elapsed := int64(now.Sub(l.started))
	for {
		latest := l.latest.Load()
		if elapsed <= latest {
			return l.started.Add(time.Duration(latest))
		}
		if l.latest.CompareAndSwap(latest, elapsed) {
			return now
		}
	}
}

// Issued returns when the binding was issued. The second result is false if the
// binding is malformed or belongs to another incarnation.
func (l *Ledger) Issued(binding string) (time.Time, bool) {
	incarnation, text, _ := strings.Cut(binding, "-")
	ticks, err := strconv.ParseUint(text, 10, 32)
	if err != nil || incarnation != l.incarnation {
		return time.Time{}, false
	}
	return l.started.Add(time.Duration(ticks) * tick), true
}

// validBinding reports whether an attempt with the binding may run. notBefore is
// the earliest allowed issue time; an attempt without a binding may run only if
// notBefore is zero. The caller holds the lock of the attempt's shard. Records
// are deleted under the same lock, so no record is deleted between this check
// and the creation of the next record.
func (l *Ledger) validBinding(binding string, notBefore, now time.Time) bool {
	if binding == "" {
		return notBefore.IsZero()
	}
	issued, ok := l.Issued(binding)
	now = l.observe(now)
	return ok && !issued.After(now) && now.Sub(issued) < Window && !issued.Before(notBefore)
}

// Offer records an attempt and decides whether it may run. With the verdict
// Joined, executor is the ID of the attempt whose result applies.
func (l *Ledger) Offer(o Offer, now time.Time) (verdict Verdict, executor string) {
	if o.Key == "" {
		return l.offerAttempt(o, "", now)
	}
	o.Key = scopedKey(o.Account, o.Key)
	s := l.keyShard(o.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.offerKey(s, o, now)
}

// scopedKey returns the key under which the ledger records an account's key, so
// that equal keys of different accounts do not collide.
func scopedKey(account, key string) string { return account + "\x00" + key }

// offerKey decides on an attempt with a key. The caller holds the lock of the
// key's shard.
func (l *Ledger) offerKey(s *keyShard, o Offer, now time.Time) (Verdict, string) {
	executor, known := s.executors[o.Key]
	if known {
		verdict := l.checkExecutor(executor, o)
		if verdict == Conflicting {
			return Conflicting, ""
		}
		if verdict == Accepted {
			l.releaseKey(executor)
			delete(s.executors, o.Key)
			executor = ""
		}
	}
	verdict, resultID := l.offerAttempt(o, executor, now)
	if verdict == Accepted {
		s.executors[o.Key] = o.ID
	}
	return verdict, resultID
}

// checkExecutor returns Joined if the offer gets the executor's result, Accepted
// if the key may be run again, or Conflicting if the requests differ.
func (l *Ledger) checkExecutor(executor string, o Offer) Verdict {
	s := l.attemptShard(executor)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[executor]
	switch {
	case r.state == attempt.StateRevoked:
		return Accepted
	case r.fingerprint != o.Fingerprint:
		return Conflicting
	case r.state == attempt.StateLost && o.Deduplicated:
		return Accepted
	}
	return Joined
}

// releaseKey detaches an executor's record from its key, so that the record is
// kept only as long as one without a key.
func (l *Ledger) releaseKey(executor string) {
	s := l.attemptShard(executor)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[executor].key = ""
}

// offerAttempt records the attempt. If executor is not empty, the attempt joins
// it.
func (l *Ledger) offerAttempt(o Offer, executor string, now time.Time) (Verdict, string) {
	s := l.attemptShard(o.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.records[o.ID]; known {
		return l.checkCopy(r, o, now)
	}
	if executor != "" {
		return l.join(s, o, executor, now)
	}
	switch {
	case o.JoinOnly || !l.validBinding(o.Binding, o.NotBefore, now) || !l.validBinding(o.KeyBinding, time.Time{}, now):
		return OutcomeUnknown, ""
	case l.closed.Load():
		return Closed, ""
	case !l.reserve():
		return Full, ""
	}
	r := newRecord(o, l.observe(now))
	r.key = o.Key
	s.records[o.ID] = r
	return Accepted, o.ID
}

// join records that the attempt gets the executor's result. Without the record,
// a late copy of this attempt could run after the executor was revoked. If there
// is no room for the record, the verdict Full would be wrong, because it states
// that the order was not run, while the executor may be running it.
func (l *Ledger) join(s *attemptShard, o Offer, executor string, now time.Time) (Verdict, string) {
	if !l.reserve() {
		return OutcomeUnknown, ""
	}
	r := newRecord(o, l.observe(now))
	r.executor = executor
	s.records[o.ID] = r
	return Joined, executor
}

// checkCopy decides on another copy of a recorded attempt.
func (l *Ledger) checkCopy(r *record, o Offer, now time.Time) (Verdict, string) {
	switch {
	case r.unseen && !l.validBinding(o.Binding, time.Time{}, now):
		return OutcomeUnknown, ""
	case r.state == attempt.StateRevoked:
		return Revoked, ""
	case r.unseen && r.executor != "":
		// The request was already compared with the key's executor.
		return Joined, r.executor
	case r.account != o.Account || r.fingerprint != o.Fingerprint:
		return Conflicting, ""
	case r.executor != "":
		return Joined, r.executor
	}
	return Joined, o.ID
}

// reserve reserves room for one record and reports whether there was room.
func (l *Ledger) reserve() bool {
	if l.records.Add(1) > l.maxRecords {
		l.records.Add(-1)
		return false
	}
	return true
}

// Start changes a queued attempt to running. Only a caller to which it returned
// true may send the attempt to the upstream, and only once.
func (l *Ledger) Start(id string) bool {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r == nil || r.executor != "" || r.state != attempt.StateQueued {
		return false
	}
	r.state = attempt.StateRunning
	return true
}

// Finish records the upstream's answer to a running attempt. If there is no room
// for the result, the result is dropped, but the attempt is still done.
func (l *Ledger) Finish(id string, result Result, now time.Time) {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r == nil || r.state != attempt.StateRunning {
		return
	}
	size := result.size()
	if l.bytes.Add(size) > l.maxBytes {
		l.bytes.Add(-size)
		result = Result{Dropped: true}
	}
	r.settle(attempt.StateDone, &result, now)
}

// MarkLost records that the upstream failed while it ran the attempt. The
// outcome then stays unknown.
func (l *Ledger) MarkLost(id string, now time.Time) {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r != nil && r.state == attempt.StateRunning {
		r.settle(attempt.StateLost, nil, now)
	}
}

// RevokeUnsent revokes a running attempt of which no byte was sent to the
// upstream, because no connection could be opened.
func (l *Ledger) RevokeUnsent(id string, now time.Time) {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r != nil && r.state == attempt.StateRunning {
		r.settle(attempt.StateRevoked, nil, now)
	}
}

// Query returns the state of an attempt; for one that joined an executor, the
// executor's state.
func (l *Ledger) Query(id string) View {
	view, executor := l.query(id)
	if executor == "" {
		return view
	}
	view, _ = l.query(executor)
	return view
}

func (l *Ledger) query(id string) (view View, executor string) {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r == nil || (r.unseen && r.executor == "") {
		return View{State: attempt.StateUnknown}, ""
	}
	return r.view(), r.executor
}

// Len returns the number of recorded attempts.
func (l *Ledger) Len() int { return int(l.records.Load()) }
