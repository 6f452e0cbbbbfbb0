package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/ledger"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
)

const lifetime = 900 * time.Second

// order is a caller's request; attempts with one key belong to one order.
type order struct {
	key       string
	firstUsed time.Time
	runs      int
}

// model is one slot whose sidecar is restarted, with gateways that send copies
// of attempts at any later time.
type model struct {
	t       *rapid.T
	now     time.Time
	ledger  *ledger.Ledger
	lives   int
	born    time.Time
	took    bool
	orders  []*order
	offers  []ledger.Offer
	owner   []int
	runs    map[string]int
	revoked map[string]bool
	running []string
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), runs: map[string]int{}, revoked: map[string]bool{}, took: true}
	m.ledger = ledger.New("inc0", 1000, 1<<20, m.now)
	m.born = m.now
	return m
}

// create draws a new attempt of a new order or of one whose key is still
// honoured, and leaves it undelivered.
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
	m.owner = append(m.owner, i)
}

func (m *model) draw() (int, bool) {
	if len(m.offers) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(m.offers)-1).Draw(m.t, "attempt"), true
}

// deliver delivers a copy of an attempt, perhaps not the first and perhaps late.
func (m *model) deliver() {
	i, ok := m.draw()
	if !ok {
		return
	}
	o := m.offers[i]
	if !m.took {
		o.NotBefore = m.born.Add(lifetime)
	}
	verdict, _ := m.ledger.Offer(o, m.now)
	if verdict == ledger.Revoked || verdict == ledger.Full || verdict == ledger.Closed {
		m.revoked[o.ID] = true
	}
}

func (m *model) start() {
	i, ok := m.draw()
	if !ok || !m.ledger.Start(m.offers[i].ID) {
		return
	}
	m.runs[m.offers[i].ID]++
	m.orders[m.owner[i]].runs++
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
	m.ledger.Lose(id, m.now)
}

func (m *model) revoke() {
	i, ok := m.draw()
	if !ok {
		return
	}
	o := m.offers[i]
	r := ledger.Revocation{ID: o.ID, Binding: o.Binding, Account: o.Account, Key: o.Key}
	if m.ledger.Revoke(r, m.now).State == attempt.StateRevoked {
		m.revoked[o.ID] = true
		require.Zero(m.t, m.orders[m.owner[i]].runs, "order of attempt %s has run", o.ID)
	}
}

// restart replaces the sidecar, with or without a hand-over.
func (m *model) restart() {
	handOver := rapid.Bool().Draw(m.t, "handOver")
	entries := m.ledger.Close(m.now)
	m.lives++
	predecessorWhole := m.took || m.now.Sub(m.born) >= lifetime
	m.ledger = ledger.New(fmt.Sprintf("inc%d", m.lives), 1000, 1<<20, m.now)
	m.born = m.now
	m.took = handOver && predecessorWhole && m.ledger.Import(entries, m.now)
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

// Guards against a second run and against a false "not run" for any order of
// offers, late copies, revocations, pauses, failures, restarts and forgetting.
func TestAttemptsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(){
			m.create, m.deliver, m.deliver, m.start, m.revoke,
			func() { m.settle(true) },
			func() { m.settle(false) },
			m.restart,
			func() { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Second) },
			func() { m.ledger.Forget(lifetime, m.now) },
			func() { m.now = m.now.Add(lifetime); m.ledger.Forget(lifetime, m.now) },
		}
		steps := rapid.SliceOfN(rapid.IntRange(0, len(actions)-1), 40, 200).Draw(t, "steps")
		for _, step := range steps {
			actions[step]()
			m.check()
		}
	})
}

func offer(l *ledger.Ledger, id, account, key, fingerprint string, now time.Time) ledger.Offer {
	return ledger.Offer{ID: id, Account: account, Key: key, Fingerprint: fingerprint, Binding: l.Binding(now)}
}

// Guards against an order that is refused to its owner, or answered to another
// client account, because two accounts chose the same key.
func TestKeysAreScopedByAccount(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New("inc", 10, 100, now)
	verdict, _ := l.Offer(offer(l, "a1", "bakery", "k", "f", now), now)
	require.Equal(t, ledger.Accepted, verdict)
	verdict, _ = l.Offer(offer(l, "a2", "hotel", "k", "g", now), now)
	require.Equal(t, ledger.Accepted, verdict)
	verdict, _ = l.Offer(offer(l, "a1", "hotel", "k", "g", now), now)
	require.Equal(t, ledger.Conflicting, verdict)
}

// Guards against a repeated key that runs again or gets another order's result.
func TestRepeatedKeySharesTheResult(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New("inc", 10, 100, now)
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

// Guards against unbounded memory, and against records that are evicted or
// reported as not run to make room.
func TestBoundsRefuseAndKeepRecords(t *testing.T) {
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
	require.Equal(t, ledger.Foreign, verdict, "the order ran and must not be refused as not run")
	require.Equal(t, attempt.StateUnknown, l.Revoke(ledger.Revocation{ID: "a5", Binding: l.Binding(now)}, now).State)
	l.Forget(lifetime, now.Add(lifetime+ledger.Window))
	require.Zero(t, l.Len())
}

// Guards against a second run after a paused caller of the ledger reads the
// clock before, and calls the ledger after, the record was forgotten.
func TestEarlierClockReadingIsNotBelieved(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New("inc", 10, 100, now)
	late := offer(l, "a1", "bakery", "", "f", now)
	l.Offer(late, now)
	require.True(t, l.Start("a1"))
	l.Finish("a1", ledger.Result{Status: 200}, now)
	l.Forget(lifetime, now.Add(2*ledger.Window))
	require.Zero(t, l.Len())
	verdict, _ := l.Offer(late, now)
	require.Equal(t, ledger.Foreign, verdict)
}

// Guards against "not run" for an attempt that another incarnation may have run.
func TestRevokingAnotherIncarnationsAttemptIsUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New("inc", 10, 100, now)
	old := ledger.New("old", 10, 100, now)
	require.Equal(t, attempt.StateUnknown, l.Revoke(ledger.Revocation{ID: "a1", Binding: old.Binding(now)}, now).State)
	verdict, _ := l.Offer(offer(old, "a1", "bakery", "", "f", now), now)
	require.Equal(t, ledger.Foreign, verdict)
}

// Guards against a successor that runs its predecessor's orders again, and
// against a lost order that becomes repeatable by the hand-over.
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

// Guards against forgetting a key while a repetition that was sent within the
// key's lifetime is still on its way.
func TestKeyOutlivesRepetitionsOnTheirWay(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New("inc", 10, 100, now)
	l.Offer(offer(l, "a1", "bakery", "k", "f", now), now)
	require.True(t, l.Start("a1"))
	l.Finish("a1", ledger.Result{Status: 201}, now)
	repetition := offer(l, "a2", "bakery", "k", "f", now.Add(lifetime-time.Second))
	now = now.Add(lifetime + time.Minute)
	l.Forget(lifetime, now)
	verdict, _ := l.Offer(repetition, now)
	require.Equal(t, ledger.Joined, verdict)
}

// Guards against an order that its owner can never place again because its
// first attempt was revoked, and against a late copy of that attempt.
func TestRevocationFreesTheKey(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New("inc", 10, 100, now)
	first := offer(l, "a1", "bakery", "k", "f", now)
	l.Offer(first, now)
	require.Equal(t, attempt.StateRevoked, l.Revoke(ledger.Revocation{ID: "a1", Binding: l.Binding(now)}, now).State)
	verdict, _ := l.Offer(offer(l, "a2", "bakery", "k", "f", now), now)
	require.Equal(t, ledger.Accepted, verdict)
	verdict, _ = l.Offer(first, now)
	require.Equal(t, ledger.Revoked, verdict)
}
