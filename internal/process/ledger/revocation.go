package ledger

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
)

// Revoke marks an attempt that has not been started, seen or not, and returns
// its state. An attempt that joined another revokes that one, because both are
// the same order; so does an unseen one whose key has an executor. The state of
// an unseen attempt is unknown, although it is marked, if its binding is not
// honoured, as another incarnation may have run it, or if it has a key, as
// another attempt of the same order may be on its way.
func (l *Ledger) Revoke(r Revocation, now time.Time) View {
	view, executor := l.revokeKeyed(r, now)
	if executor == "" {
		return view
	}
	view, _ = l.revoke(Revocation{ID: executor, Binding: r.Binding}, "", now)
	return view
}

// revokeKeyed revokes the attempt, or returns the executor of its order.
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

// revoke marks the attempt; an unseen one joins the executor of its key, empty
// for none.
func (l *Ledger) revoke(o Revocation, keyExecutor string, now time.Time) (view View, executor string) {
	s := l.attemptShard(o.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[o.ID]
	if r == nil {
		r = l.markUnseen(s, o, keyExecutor, now)
	}
	switch {
	case r == nil:
		return View{State: attempt.StateUnknown}, ""
	case r.executor != "" && keyExecutor == "":
		return View{}, r.executor
	case keyExecutor != "" && keyExecutor != o.ID && (r.executor != "" || r.state == attempt.StateRevoked):
		// It may have taken the order up after the attempt's own executor was revoked.
		return View{}, keyExecutor
	case r.state == attempt.StateQueued:
		r.settle(attempt.StateRevoked, nil, now)
	}
	if r.unseen && (o.Key != "" || o.Binding == "" || !l.honours(o.Binding, time.Time{}, now)) {
		return View{State: attempt.StateUnknown}, ""
	}
	return r.view(), ""
}

// markUnseen records an attempt that was not offered yet. It returns nil if
// there is no room.
func (l *Ledger) markUnseen(s *attemptShard, o Revocation, executor string, now time.Time) *record {
	if !l.reserve() {
		return nil
	}
	r := newRecord(Offer{ID: o.ID, Account: o.Account}, l.observe(now))
	r.unseen = true
	r.executor = executor
	s.records[o.ID] = r
	return r
}
