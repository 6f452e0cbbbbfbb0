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
	// Window is how long after its issue a binding is honoured. It covers the
	// age of a gateway's last report and the transport of the attempt.
	Window = 900 * time.Second
)

// Ledger holds the attempts and keys of one sidecar incarnation. It is safe for
// concurrent use. A key's lock is taken before an attempt's lock, and no two
// locks of one kind are held at once.
type Ledger struct {
	incarnation string
	maxRecords  int64
	maxBytes    int64

	attempts [shards]attemptShard
	keys     [shards]keyShard

	// records and bytes count the attempts and the stored results.
	records atomic.Int64
	bytes   atomic.Int64
	closed  atomic.Bool

	started time.Time
	// latest is the latest time seen, in nanoseconds after started. A caller
	// that was paused between reading the clock and its call must not judge
	// bindings by the earlier time.
	latest atomic.Int64
}

type attemptShard struct {
	mu      sync.Mutex
	records map[string]*record
}

type keyShard struct {
	mu sync.Mutex
	// executors maps a scoped key to the attempt that runs for it. The
	// executor's record exists as long as the entry.
	executors map[string]string
}

// New returns an empty ledger of the incarnation that keeps at most maxRecords
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

// Binding returns the binding that attempts offered from now on should carry.
func (l *Ledger) Binding(now time.Time) string {
	ticks := l.observe(now).Sub(l.started) / tick
	return l.incarnation + "-" + strconv.FormatInt(int64(ticks), 10)
}

// observe returns the latest time seen.
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

// Issued returns when the binding was issued. The last result is false if it
// is not this incarnation's.
func (l *Ledger) Issued(binding string) (time.Time, bool) {
	incarnation, text, _ := strings.Cut(binding, "-")
	ticks, err := strconv.ParseUint(text, 10, 32)
	if err != nil || incarnation != l.incarnation {
		return time.Time{}, false
	}
	return l.started.Add(time.Duration(ticks) * tick), true
}

// honours reports whether an attempt with the binding may run. The caller holds
// the lock of the attempt's shard, under which records are forgotten, so that
// no record is forgotten between this check and the next record's creation.
func (l *Ledger) honours(binding string, notBefore, now time.Time) bool {
	if binding == "" {
		return notBefore.IsZero()
	}
	issued, ok := l.Issued(binding)
	now = l.observe(now)
	return ok && !issued.After(now) && now.Sub(issued) < Window && !issued.Before(notBefore)
}

// Offer records an attempt and decides on it. With the verdict Joined, executor
// is the attempt whose result is awaited.
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

// scopedKey returns the key as the ledger knows it: accounts share no keys.
func scopedKey(account, key string) string { return account + "\x00" + key }

// offerKey needs the lock of the key's shard.
func (l *Ledger) offerKey(s *keyShard, o Offer, now time.Time) (Verdict, string) {
	executor, known := s.executors[o.Key]
	if known {
		verdict := l.judgeExecutor(executor, o)
		if verdict == Conflicting {
			return Conflicting, ""
		}
		if verdict == Accepted {
			l.releaseKey(executor)
			delete(s.executors, o.Key)
			executor = ""
		}
	}
	verdict, running := l.offerAttempt(o, executor, now)
	if verdict == Accepted {
		s.executors[o.Key] = o.ID
	}
	return verdict, running
}

// judgeExecutor returns Joined if the offer shares the executor's fate, Accepted
// if the key is free again, or Conflicting.
func (l *Ledger) judgeExecutor(executor string, o Offer) Verdict {
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

// releaseKey lets an executor's record be forgotten independently of its key.
func (l *Ledger) releaseKey(executor string) {
	s := l.attemptShard(executor)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[executor].key = ""
}

// offerAttempt records the attempt, as one that joins the executor unless that
// is empty.
func (l *Ledger) offerAttempt(o Offer, executor string, now time.Time) (Verdict, string) {
	s := l.attemptShard(o.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.records[o.ID]; known {
		return l.judgeCopy(r, o, now)
	}
	if executor != "" {
		return l.join(s, o, executor, now)
	}
	switch {
	case o.Barred || !l.honours(o.Binding, o.NotBefore, now) || !l.honours(o.KeyBinding, time.Time{}, now):
		return Foreign, ""
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

// join records that the attempt shares the executor's fate. Without the record,
// a late copy of this attempt could run after the executor was revoked. The
// verdict Full would be wrong without room, because the order may be running.
func (l *Ledger) join(s *attemptShard, o Offer, executor string, now time.Time) (Verdict, string) {
	if !l.reserve() {
		return Foreign, ""
	}
	r := newRecord(o, l.observe(now))
	r.executor = executor
	s.records[o.ID] = r
	return Joined, executor
}

// judgeCopy decides on a further copy of a recorded attempt.
func (l *Ledger) judgeCopy(r *record, o Offer, now time.Time) (Verdict, string) {
	switch {
	case r.unseen && !l.honours(o.Binding, time.Time{}, now):
		return Foreign, ""
	case r.state == attempt.StateRevoked:
		return Revoked, ""
	case r.unseen && r.executor != "":
		// The key's executor was compared with the request.
		return Joined, r.executor
	case r.account != o.Account || r.fingerprint != o.Fingerprint:
		return Conflicting, ""
	case r.executor != "":
		return Joined, r.executor
	}
	return Joined, o.ID
}

func (l *Ledger) reserve() bool {
	if l.records.Add(1) > l.maxRecords {
		l.records.Add(-1)
		return false
	}
	return true
}

// Start passes a queued attempt to running. Only if it reports true may the
// attempt be handed to the upstream, and only by the process that called it.
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

// Finish records the upstream's answer to a running attempt. A result for which
// there is no room is dropped; the attempt counts as done all the same.
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

// Lose records that the upstream failed while it ran the attempt, so that the
// outcome is unknown for good.
func (l *Ledger) Lose(id string, now time.Time) {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r != nil && r.state == attempt.StateRunning {
		r.settle(attempt.StateLost, nil, now)
	}
}

// Withdraw revokes a running attempt of which the upstream was never given a
// byte, because no connection to it could be opened.
func (l *Ledger) Withdraw(id string, now time.Time) {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r != nil && r.state == attempt.StateRunning {
		r.settle(attempt.StateRevoked, nil, now)
	}
}

// Query returns the state of an attempt.
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
