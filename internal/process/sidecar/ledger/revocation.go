package ledger

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
)

// Revoke revokes an attempt that has not been started, also before its first
// copy arrives, and returns its state. If the attempt joined an executor, or has
// not arrived and its key has an executor, the executor is revoked, because both
// belong to the same order.
//
// An attempt that has not arrived is recorded as revoked, but its state is
// returned as unknown in two cases: if it has no binding that is valid here,
// because another incarnation may have run it, and if it has a key, because
// another attempt of the same order may still arrive.
func (l *Ledger) Revoke(r Revocation, now time.Time) View {
	view, executor := l.revokeKeyed(r, now)
	if executor == "" {
		return view
	}
	view, _ = l.revoke(Revocation{ID: executor, Binding: r.Binding}, "", now)
	return view
}

// revokeKeyed revokes the attempt, or returns the executor to revoke instead.
func (l *Ledger) revokeKeyed(r Revocation, now time.Time) (view View, executor string) {
	if r.Key == "" {
		return l.revoke(r, "", now)
	}
	key := scopedKey(r.Account, r.Key)
	s := l.keyShard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.revoke(r, s.executors[key], now)
}

// revoke revokes the attempt, or returns the executor to revoke instead. An
// attempt that has not arrived joins keyExecutor, the executor of its key; empty
// for none.
func (l *Ledger) revoke(o Revocation, keyExecutor string, now time.Time) (view View, executor string) {
	s := l.attemptShard(o.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[o.ID]
	if r == nil {
		r = l.recordUnseen(s, o, keyExecutor, now)
	}
	switch {
	case r == nil:
		return View{State: attempt.StateUnknown}, ""
	case r.executor != "" && keyExecutor == "":
		return View{}, r.executor
	case keyExecutor != "" && keyExecutor != o.ID && (r.executor != "" || r.state == attempt.StateRevoked):
		// The key's executor can have changed since this attempt was recorded: after
		// the earlier executor was revoked, another attempt may run the order.
		return View{}, keyExecutor
	case r.state == attempt.StateQueued:
		r.settle(attempt.StateRevoked, nil, now)
	}
	if r.unseen && (o.Key != "" || o.Binding == "" || !l.validBinding(o.Binding, time.Time{}, now)) {
		return View{State: attempt.StateUnknown}, ""
	}
	return r.view(), ""
}

// recordUnseen records an attempt whose first copy has not arrived. It returns
// nil if there is no room.
func (l *Ledger) recordUnseen(s *attemptShard, o Revocation, executor string, now time.Time) *record {
	if !l.reserve() {
		return nil
	}
	r := newRecord(Offer{ID: o.ID, Account: o.Account}, l.observe(now))
	r.unseen = true
	r.executor = executor
	s.records[o.ID] = r
	return r
}
