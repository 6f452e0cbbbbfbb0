package ledger

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
)

// Forget drops what no copy and no repetition can refer to any more. The
// lifetime is the time for which a key is honoured. It must be called regularly.
func (l *Ledger) Forget(lifetime time.Duration, now time.Time) {
	l.observe(now)
	for i := range l.keys {
		l.forgetKeys(&l.keys[i], lifetime, now)
	}
	for i := range l.attempts {
		l.forgetAttempts(&l.attempts[i], now)
	}
}

// forgetKeys drops keys together with their executors.
func (l *Ledger) forgetKeys(s *keyShard, lifetime time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, executor := range s.executors {
		if l.forgetExecutor(executor, lifetime, now) {
			delete(s.executors, key)
		}
	}
}

func (l *Ledger) forgetExecutor(id string, lifetime time.Duration, now time.Time) bool {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.records[id].forgettable(lifetime+Window, now) {
		return false
	}
	l.drop(s, id)
	return true
}

func (l *Ledger) forgetAttempts(s *attemptShard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.records {
		if r.key == "" && r.forgettable(Window, now) {
			l.drop(s, id)
		}
	}
}

// drop needs the lock of the shard.
func (l *Ledger) drop(s *attemptShard, id string) {
	l.bytes.Add(-s.records[id].result.size())
	l.records.Add(-1)
	delete(s.records, id)
}

// forgettable reports whether the time has passed since the attempt was
// settled. A record that joined an executor is never settled itself.
func (r *record) forgettable(after time.Duration, now time.Time) bool {
	if r.executor != "" {
		return now.Sub(r.offeredAt) >= after
	}
	return r.final() && now.Sub(r.settledAt) >= after && now.Sub(r.offeredAt) >= after
}

// Entry is the record of one key in a hand-over.
type Entry struct {
	AttemptID   string `json:"attempt_id"`
	Account     string `json:"account"`
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	// State is done or lost.
	State string `json:"state"`
	// AgeMillis is the time since the attempt was settled. It is a duration, so
	// that the clocks of the processes need not agree.
	AgeMillis int64   `json:"age_ms"`
	Result    *Result `json:"result,omitempty"`
}

// Close refuses new attempts from now on and returns the keys that ran. Queued
// attempts with a key are revoked, and running ones are handed over as lost.
func (l *Ledger) Close(now time.Time) []Entry {
	l.closed.Store(true)
	var entries []Entry
	for i := range l.keys {
		entries = append(entries, l.exportKeys(&l.keys[i], now)...)
	}
	return entries
}

func (l *Ledger) exportKeys(s *keyShard, now time.Time) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []Entry
	for key, executor := range s.executors {
		if e, ran := l.export(key, executor, now); ran {
			entries = append(entries, e)
		}
	}
	return entries
}

func (l *Ledger) export(key, executor string, now time.Time) (Entry, bool) {
	s := l.attemptShard(executor)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[executor]
	if r.state == attempt.StateQueued {
		r.settle(attempt.StateRevoked, nil, now)
	}
	if r.state == attempt.StateRevoked {
		return Entry{}, false
	}
	if r.state == attempt.StateRunning {
		r.settle(attempt.StateLost, nil, now)
	}
	return Entry{
		AttemptID: executor, Account: r.account, Key: key, Fingerprint: r.fingerprint,
		State: r.state, AgeMillis: now.Sub(r.settledAt).Milliseconds(), Result: r.result,
	}, true
}

// Import takes the keys of the predecessor. It reports false if there is no
// room for all of them; the ledger must then count as one without them.
func (l *Ledger) Import(entries []Entry, now time.Time) bool {
	for _, e := range entries {
		if !l.importEntry(e, now) {
			return false
		}
	}
	return true
}

func (l *Ledger) importEntry(e Entry, now time.Time) bool {
	k := l.keyShard(e.Key)
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.executors[e.Key]; known {
		return true
	}
	s := l.attemptShard(e.AttemptID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.records[e.AttemptID]; known || !l.reserve() {
		return false
	}
	r := newRecord(Offer{Account: e.Account, Fingerprint: e.Fingerprint}, l.observe(now))
	r.key = e.Key
	r.settle(e.State, e.Result, now.Add(-time.Duration(e.AgeMillis)*time.Millisecond))
	l.bytes.Add(e.Result.size())
	s.records[e.AttemptID] = r
	k.executors[e.Key] = e.AttemptID
	return true
}
