package ledger

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
)

// DeleteExpired deletes the records that are no longer needed for late copies of
// an attempt or for retries with a key. lifetime is how long callers may retry
// an order with its key. DeleteExpired must be called regularly.
func (l *Ledger) DeleteExpired(lifetime time.Duration, now time.Time) {
	l.observe(now)
	for i := range l.keys {
		l.deleteExpiredKeys(&l.keys[i], lifetime, now)
	}
	for i := range l.attempts {
		l.deleteExpiredAttempts(&l.attempts[i], now)
	}
}

// deleteExpiredKeys deletes expired keys together with the records of their
// executors.
func (l *Ledger) deleteExpiredKeys(s *keyShard, lifetime time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, executor := range s.executors {
		if l.deleteExpiredExecutor(executor, lifetime, now) {
			delete(s.executors, key)
		}
	}
}

func (l *Ledger) deleteExpiredExecutor(id string, lifetime time.Duration, now time.Time) bool {
	s := l.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.records[id].expired(lifetime+Window, now) {
		return false
	}
	l.remove(s, id)
	return true
}

func (l *Ledger) deleteExpiredAttempts(s *attemptShard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.records {
		if r.key == "" && r.expired(Window, now) {
			l.remove(s, id)
		}
	}
}

// remove deletes a record. The caller holds the lock of the shard.
func (l *Ledger) remove(s *attemptShard, id string) {
	l.bytes.Add(-s.records[id].result.size())
	l.records.Add(-1)
	delete(s.records, id)
}

// expired reports whether the retention period has passed since the attempt was
// offered and settled. An attempt that joined an executor is never settled
// itself, so only the time since its offer counts.
func (r *record) expired(retention time.Duration, now time.Time) bool {
	if r.executor != "" {
		return now.Sub(r.offeredAt) >= retention
	}
	return r.final() && now.Sub(r.settledAt) >= retention && now.Sub(r.offeredAt) >= retention
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

// Close makes the ledger refuse new attempts and returns the records of the keys
// whose attempt was started. Queued attempts with a key are revoked, and running
// ones are handed over as lost.
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

// Import adds the keys of the predecessor. It returns false if not all of them
// could be added; the caller must then act as if none had been added.
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
