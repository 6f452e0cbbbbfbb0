package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
)

const lifetime = 900 * time.Second

// order is a non-repeatable request of a caller. All attempts with its key
// belong to it.
type order struct {
	key       string
	firstUsed time.Time
	runs      int
}

// model simulates one slot whose sidecar is restarted, and gateways that send
// copies of attempts at any later time.
type model struct {
	t         *rapid.T
	now       time.Time
	ledger    *ledger.Ledger
	restarts  int
	startedAt time.Time
	// imported is true if the ledger has all records of its predecessors.
	imported bool
	orders   []*order
	offers   []ledger.Offer
	// orderOf holds, for each offer, the index of its order.
	orderOf []int
	runs    map[string]int
	revoked map[string]bool
	running []string
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), runs: map[string]int{}, revoked: map[string]bool{}, imported: true}
	m.ledger = ledger.New("inc0", 1000, 1<<20, m.now)
	m.startedAt = m.now
	return m
}

// create generates an attempt of a new order, or of one whose key has not
// expired. The attempt is not delivered yet.
func (m *model) create() {
	i := rapid.IntRange(0, len(m.orders)).Draw(m.t, "order")
	if i == len(m.orders) {
		m.orders = append(m.orders, &order{key: fmt.Sprintf("k%d", i), firstUsed: m.now})
	}
	if m.now.Sub(m.orders[i].firstUsed) >= lifetime {
		return
	}
	m.offers = append(m.offers, ledger.Offer{
		ID:          fmt.Sprintf("a%d", len(m.offers)),
		Account:     "bakery",
		Key:         m.orders[i].key,
		Fingerprint: "f",
		Binding:     m.ledger.Binding(m.now),
	})
	m.orderOf = append(m.orderOf, i)
}

// randomAttempt returns the index of a random attempt, false if there is none.
func (m *model) randomAttempt() (int, bool) {
	if len(m.offers) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(m.offers)-1).Draw(m.t, "attempt"), true
}

// deliver offers the first or a later copy of an attempt, possibly late.
func (m *model) deliver() {
	i, ok := m.randomAttempt()
	if !ok {
		return
	}
	o := m.offers[i]
	if !m.imported {
		o.NotBefore = m.startedAt.Add(lifetime)
	}
	verdict, _ := m.ledger.Offer(o, m.now)
	if verdict == ledger.Revoked || verdict == ledger.Full || verdict == ledger.Closed {
		m.revoked[o.ID] = true
	}
}

func (m *model) start() {
	i, ok := m.randomAttempt()
	if !ok || !m.ledger.Start(m.offers[i].ID) {
		return
	}
	m.runs[m.offers[i].ID]++
	m.orders[m.orderOf[i]].runs++
	m.running = append(m.running, m.offers[i].ID)
}

func (m *model) settle(done bool) {
	if len(m.running) == 0 {
		return
	}
	id := m.running[0]
	m.running = m.running[1:]
	if done {
		m.ledger.Finish(id, ledger.Result{Status: 200, Body: []byte(id)}, m.now)
		return
	}
	m.ledger.MarkLost(id, m.now)
}

func (m *model) revoke() {
	i, ok := m.randomAttempt()
	if !ok {
		return
	}
	o := m.offers[i]
	r := ledger.Revocation{ID: o.ID, Binding: o.Binding, Account: o.Account, Key: o.Key}
	if m.ledger.Revoke(r, m.now).State == attempt.StateRevoked {
		m.revoked[o.ID] = true
		require.Zero(m.t, m.orders[m.orderOf[i]].runs, "order of attempt %s has run", o.ID)
	}
}

// restart replaces the sidecar, with or without a hand-over.
func (m *model) restart() {
	handOver := rapid.Bool().Draw(m.t, "handOver")
	entries := m.ledger.Close(m.now)
	m.restarts++
	predecessorComplete := m.imported || m.now.Sub(m.startedAt) >= lifetime
	m.ledger = ledger.New(fmt.Sprintf("inc%d", m.restarts), 1000, 1<<20, m.now)
	m.startedAt = m.now
	m.imported = handOver && predecessorComplete && m.ledger.Import(entries, m.now)
	m.running = nil
}

func (m *model) check() {
	for id, runs := range m.runs {
		require.LessOrEqual(m.t, runs, 1, "attempt %s ran twice", id)
	}
	for _, o := range m.orders {
		require.LessOrEqual(m.t, o.runs, 1, "order %s ran twice", o.key)
	}
	for id := range m.revoked {
		require.Zero(m.t, m.runs[id], "attempt %s was reported as not run", id)
	}
}

// Guards against a second run and against a false "not run" for any sequence of
// offers, late copies, revocations, pauses, failures, restarts and expiry of
// records.
func TestAttemptsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(){
			m.create, m.deliver, m.deliver, m.start, m.revoke,
			func() { m.settle(true) },
			func() { m.settle(false) },
			m.restart,
			func() { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Second) },
			func() { m.ledger.DeleteExpired(lifetime, m.now) },
			func() { m.now = m.now.Add(lifetime); m.ledger.DeleteExpired(lifetime, m.now) },
		}
		steps := rapid.SliceOfN(rapid.IntRange(0, len(actions)-1), 40, 200).Draw(t, "steps")
		for _, step := range steps {
			actions[step]()
			m.check()
		}
	})
}

func newLedger() (*ledger.Ledger, time.Time) {
	now := time.Unix(1000, 0)
	return ledger.New("inc", 10, 100, now), now
}

func offer(l *ledger.Ledger, id, account, key, fingerprint string, now time.Time) ledger.Offer {
	return ledger.Offer{ID: id, Account: account, Key: key, Fingerprint: fingerprint, Binding: l.Binding(now)}
}

// Guards against refusing an order, or returning its result to another client
// account, because two accounts chose the same key.
func TestKeysAreScopedByAccount(t *testing.T) {
	l, now := newLedger()
	verdict, _ := l.Offer(offer(l, "a1", "bakery", "k", "f", now), now)
	require.Equal(t, ledger.Accepted, verdict)
	verdict, _ = l.Offer(offer(l, "a2", "hotel", "k", "g", now), now)
	require.Equal(t, ledger.Accepted, verdict)
	verdict, _ = l.Offer(offer(l, "a1", "hotel", "k", "g", now), now)
	require.Equal(t, ledger.Conflicting, verdict)
}

// Guards against running an order again when it is retried with its key, and
// against returning another order's result for it.
func TestRepeatedKeySharesTheResult(t *testing.T) {
	l, now := newLedger()
	l.Offer(offer(l, "a1", "bakery", "k", "f", now), now)
	require.True(t, l.Start("a1"))
	verdict, executor := l.Offer(offer(l, "a2", "bakery", "k", "f", now), now)
	require.Equal(t, ledger.Joined, verdict)
	require.Equal(t, "a1", executor)
	require.False(t, l.Start("a2"))
	require.Equal(t, attempt.StateRunning, l.Revoke(ledger.Revocation{ID: "a2", Binding: l.Binding(now)}, now).State)
	verdict, _ = l.Offer(offer(l, "a3", "bakery", "k", "other", now), now)
	require.Equal(t, ledger.Conflicting, verdict)
	l.Finish("a1", ledger.Result{Status: 201, Body: []byte("booked")}, now)
	view := l.Query("a2")
	<-view.Settled
	require.Equal(t, attempt.StateDone, view.State)
	require.Equal(t, "booked", string(view.Result.Body))
}

// Guards against unbounded memory, and against making room by evicting records
// or reporting them as not run.
func TestFullLedgerRefusesAttemptsAndKeepsRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New("inc", 2, 8, now)
	for _, id := range []string{"a1", "a2"} {
		l.Offer(offer(l, id, "bakery", id, "f", now), now)
		require.True(t, l.Start(id))
		l.Finish(id, ledger.Result{Status: 200, Body: []byte("12345")}, now)
	}
	require.False(t, l.Query("a1").Result.Dropped)
	require.True(t, l.Query("a2").Result.Dropped, "the results exceed the bound of 8 bytes")
	verdict, _ := l.Offer(offer(l, "a3", "bakery", "k3", "f", now), now)
	require.Equal(t, ledger.Full, verdict)
	verdict, _ = l.Offer(offer(l, "a4", "bakery", "a1", "f", now), now)
	require.Equal(t, ledger.OutcomeUnknown, verdict, "the order ran and must not be refused as not run")
	require.Equal(t, attempt.StateUnknown, l.Revoke(ledger.Revocation{ID: "a5", Binding: l.Binding(now)}, now).State)
	l.DeleteExpired(lifetime, now.Add(lifetime+ledger.Window))
	require.Zero(t, l.Len())
}

// Guards against a second run when a caller reads the clock, is paused until the
// record has been deleted, and then offers a copy with the outdated time.
func TestOutdatedClockReadingIsIgnored(t *testing.T) {
	l, now := newLedger()
	late := offer(l, "a1", "bakery", "", "f", now)
	l.Offer(late, now)
	require.True(t, l.Start("a1"))
	l.Finish("a1", ledger.Result{Status: 200}, now)
	l.DeleteExpired(lifetime, now.Add(2*ledger.Window))
	require.Zero(t, l.Len())
	verdict, _ := l.Offer(late, now)
	require.Equal(t, ledger.OutcomeUnknown, verdict)
}

// Guards against reporting an attempt as not run that another incarnation may
// have run.
func TestRevokingAnotherIncarnationsAttemptReturnsUnknown(t *testing.T) {
	l, now := newLedger()
	old := ledger.New("old", 10, 100, now)
	require.Equal(t, attempt.StateUnknown, l.Revoke(ledger.Revocation{ID: "a1", Binding: old.Binding(now)}, now).State)
	verdict, _ := l.Offer(offer(old, "a1", "bakery", "", "f", now), now)
	require.Equal(t, ledger.OutcomeUnknown, verdict)
}

// Guards against a successor that runs its predecessor's orders again, and
// against a hand-over after which a lost order may be run again.
func TestHandOverKeepsOrders(t *testing.T) {
	now := time.Unix(1000, 0)
	old := ledger.New("old", 10, 100, now)
	for _, id := range []string{"done", "lost", "queued"} {
		old.Offer(offer(old, id, "bakery", id, "f", now), now)
	}
	require.True(t, old.Start("done"))
	old.Finish("done", ledger.Result{Status: 201}, now)
	require.True(t, old.Start("lost"))
	entries := old.Close(now)
	verdict, _ := old.Offer(offer(old, "a4", "bakery", "k4", "f", now), now)
	require.Equal(t, ledger.Closed, verdict)
	require.False(t, old.Start("queued"))

	l := ledger.New("new", 10, 100, now)
	require.True(t, l.Import(entries, now))
	for key, want := range map[string]ledger.Verdict{
		"done": ledger.Joined, "lost": ledger.Joined, "queued": ledger.Accepted,
	} {
		verdict, _ := l.Offer(offer(l, "again-"+key, "bakery", key, "f", now), now)
		require.Equal(t, want, verdict, key)
	}
	require.Equal(t, attempt.StateLost, l.Query("again-lost").State)
}

// Guards against deleting a key's record while a retry that was sent within the
// key's lifetime is still in transit.
func TestKeyOutlivesRepetitionsInTransit(t *testing.T) {
	l, now := newLedger()
	l.Offer(offer(l, "a1", "bakery", "k", "f", now), now)
	require.True(t, l.Start("a1"))
	l.Finish("a1", ledger.Result{Status: 201}, now)
	retry := offer(l, "a2", "bakery", "k", "f", now.Add(lifetime-time.Second))
	now = now.Add(lifetime + time.Minute)
	l.DeleteExpired(lifetime, now)
	verdict, _ := l.Offer(retry, now)
	require.Equal(t, ledger.Joined, verdict)
}

// Guards against an order that can never be sent again because its first attempt
// was revoked, and against running a late copy of that attempt.
func TestRevocationFreesTheKey(t *testing.T) {
	l, now := newLedger()
	first := offer(l, "a1", "bakery", "k", "f", now)
	l.Offer(first, now)
	require.Equal(t, attempt.StateRevoked, l.Revoke(ledger.Revocation{ID: "a1", Binding: l.Binding(now)}, now).State)
	verdict, _ := l.Offer(offer(l, "a2", "bakery", "k", "f", now), now)
	require.Equal(t, ledger.Accepted, verdict)
	verdict, _ = l.Offer(first, now)
	require.Equal(t, ledger.Revoked, verdict)
}
