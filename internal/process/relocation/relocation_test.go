package relocation

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// scriptedEngines answers copies as the test says and records the orders.
type scriptedEngines struct {
	mu     sync.Mutex
	orders []CopyOrder
	freed  []string
	answer func(n int, o CopyOrder) (Copy, error)
}

func (s *scriptedEngines) Copy(_ context.Context, o CopyOrder) (Copy, error) {
	s.mu.Lock()
	s.orders = append(s.orders, o)
	n := len(s.orders)
	s.mu.Unlock()
	return s.answer(n, o)
}

func (s *scriptedEngines) Free(_ context.Context, _, handle string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, handle)
	return nil
}

func (s *scriptedEngines) CopySource(source, handle string) string { return source + "/" + handle }

func (s *scriptedEngines) made() []CopyOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]CopyOrder{}, s.orders...)
}

// freeTurns gives every turn; taken holds the upstreams whose link is in use,
// until the time if one is set.
type freeTurns struct {
	taken map[string]bool
	until time.Time
}

func (freeTurns) Acquire(context.Context, directory.View, string, float64) func() { return func() {} }

func (f freeTurns) TryAcquire(_ context.Context, v directory.View, _ string) (func(), bool) {
	return func() {}, !f.taken[v.ID] || (!f.until.IsZero() && time.Now().After(f.until))
}

type harness struct {
	directory *directory.Directory
	engines   *scriptedEngines
	relocator *Relocator
}

func newHarness(t *testing.T, turns Turns, answer func(n int, o CopyOrder) (Copy, error)) *harness {
	t.Helper()
	h := &harness{engines: &scriptedEngines{answer: answer}}
	h.directory = directory.New(eventlog.Discard(), func(string) float64 { return 0 })
	for i, id := range []string{"source", "near", "far"} {
		centre := "dc-1"
		if id == "far" {
			centre = "dc-2"
		}
		h.directory.List(directory.Entry{
			ID: id, Service: "lm", Address: id + ":1", DataCentre: centre, Slots: 8, Born: int64(i + 1),
		}, time.Now())
	}
	h.relocator = New(Options{
		Engines: h.engines, Directory: h.directory, Turns: turns, Log: eventlog.Discard(), Clock: time.Now,
		Draw:   func() float64 { return 0 },
		Engine: func(string) *routetable.Engine { return &routetable.Engine{MemoryTokens: 1000, EventTokens: 4} },
	})
	h.directory.OnDeparture(func(id string) { h.relocator.Departed(t.Context(), id) })
	return h
}

// run begins a run at the source.
func (h *harness) run(t *testing.T, id string) *Run {
	t.Helper()
	source, ok := h.directory.Upstream("source", time.Now())
	require.True(t, ok)
	r := NewRun(id, "lm", source, 100, 50)
	h.relocator.Begin(t.Context(), r)
	return r
}

func (h *harness) leave(id string) {
	h.directory.Report(id, directory.Report{Leaving: true}, time.Now())
}

func finalOnly(o []CopyOrder) []CopyOrder {
	var final []CopyOrder
	for _, c := range o {
		if c.Final {
			final = append(final, c)
		}
	}
	return final
}

// Guards against runs of several upstreams that are all copied to one that has
// just been listed and has not reported: six copies over one link took longer
// than the notice of 1.5 s, and each held up the others of its upstream.
func TestTargetHasReported(t *testing.T) {
	h := newHarness(t, freeTurns{}, quickCopies)
	h.directory.Report("far", directory.Report{Running: 3, MemoryUsed: 500, MemoryTotal: 1000}, time.Now())
	r := h.run(t, "r1")
	r.Event()
	h.leave("source")
	require.Equal(t, "far", handoff(t, r).Target.ID)
}

// Guards against a choice that falls back to one and the same upstream for all
// routers when the links of all that were asked are in use.
func TestTargetsInUseAreSpread(t *testing.T) {
	chosen := map[string]bool{}
	for i := range 4 {
		h := newHarness(t, freeTurns{taken: map[string]bool{"near": true, "far": true}}, quickCopies)
		h.relocator.draw = func() float64 { return float64(i) / 4 }
		r := h.run(t, "r1")
		r.Event()
		h.leave("source")
		chosen[handoff(t, r).Target.ID] = true
	}
	require.Equal(t, map[string]bool{"near": true, "far": true}, chosen)
}

// Guards against copies to another data centre, which take twice as long of the
// notice, while one with room is at hand in the same.
func TestCopyStaysInTheDataCentre(t *testing.T) {
	h := newHarness(t, freeTurns{}, quickCopies)
	h.directory.Report("near", directory.Report{Running: 5, MemoryUsed: 700, MemoryTotal: 1000}, time.Now())
	h.directory.Report("far", directory.Report{MemoryTotal: 1000}, time.Now())
	r := h.run(t, "r1")
	r.Event()
	h.leave("source")
	require.Equal(t, "near", handoff(t, r).Target.ID)
}

// Guards against copies of several upstreams over the link of the only target
// with room: five of them took longer than the notice, although each source could
// have copied to engines that were listed 0.3 s later.
func TestCopyWaitsForAFreeTarget(t *testing.T) {
	free := time.Now().Add(150 * time.Millisecond)
	h := newHarness(t, freeTurns{taken: map[string]bool{"near": true, "far": true}, until: free}, quickCopies)
	r := h.run(t, "r1")
	r.Event()
	h.leave("source")
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, h.engines.made())
	handoff(t, r)
	require.False(t, time.Now().Before(free))
}

// quickCopies carries out each copy at once.
func quickCopies(int, CopyOrder) (Copy, error) { return Copy{Handle: "h", Events: 1}, nil }

// handoff waits for where the run goes on.
func handoff(t *testing.T, r *Run) Handoff {
	t.Helper()
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.handoff != nil && !r.moving
	}, 2*time.Second, time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.handoff
}

// Guards against a run that is stopped while much of it is still to be copied,
// which its caller sees as a pause.
func TestRunIsStoppedOnlyAfterAQuickCopy(t *testing.T) {
	h := newHarness(t, freeTurns{}, func(n int, o CopyOrder) (Copy, error) {
		if n < 3 {
			time.Sleep(2 * quickCopy)
		}
		return Copy{Handle: "h", Events: 7}, nil
	})
	r := h.run(t, "a")
	r.Event()
	h.leave("source")
	require.Eventually(t, func() bool { return len(finalOnly(h.engines.made())) == 1 }, time.Second, time.Millisecond)
	handoff, ok := r.Continue(t.Context())
	require.True(t, ok)
	require.Equal(t, "near", handoff.Target.ID, "a copy within the data centre takes half the time")
	require.Equal(t, "source:1/h", handoff.From)
	require.Equal(t, 7, handoff.Events)
	require.Len(t, h.engines.made(), 4)
}

// Guards against copies of a run that has not begun: there is nothing to copy,
// and the turn would be lost to others.
func TestRunThatHasNotBegunWaits(t *testing.T) {
	h := newHarness(t, freeTurns{}, func(int, CopyOrder) (Copy, error) { return Copy{Handle: "h"}, nil })
	r := h.run(t, "a")
	h.leave("source")
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, h.engines.made())
	r.Event()
	require.Eventually(t, func() bool { return len(finalOnly(h.engines.made())) == 1 }, time.Second, time.Millisecond)
}

// Guards against two copies that share a target's link and take twice as long.
func TestTargetWhoseLinkIsInUseIsAvoided(t *testing.T) {
	h := newHarness(t, freeTurns{taken: map[string]bool{"near": true}}, func(int, CopyOrder) (Copy, error) {
		return Copy{Handle: "h"}, nil
	})
	r := h.run(t, "a")
	r.Event()
	h.leave("source")
	handoff := awaitHandoff(t, r)
	require.Equal(t, "far", handoff.Target.ID)
}

func awaitHandoff(t *testing.T, r *Run) Handoff {
	t.Helper()
	var handoff Handoff
	require.Eventually(t, func() bool {
		h, ok := r.Continue(t.Context())
		handoff = h
		return ok
	}, 2*time.Second, 5*time.Millisecond)
	return handoff
}

// Guards against a run that is given up because the first target is full.
func TestFullTargetIsReplaced(t *testing.T) {
	h := newHarness(t, freeTurns{}, func(_ int, o CopyOrder) (Copy, error) {
		if o.TargetAddress == "near:1" {
			return Copy{}, ErrNoRoom
		}
		return Copy{Handle: "h"}, nil
	})
	r := h.run(t, "a")
	r.Event()
	h.leave("source")
	require.Equal(t, "far", awaitHandoff(t, r).Target.ID)
}

// Guards against a run that is lost because the answer to its final copy was: the
// copy ahead holds nearly all of it.
func TestLostAnswerToTheFinalCopyLeavesTheCopyAhead(t *testing.T) {
	h := newHarness(t, freeTurns{}, func(_ int, o CopyOrder) (Copy, error) {
		if o.Final {
			return Copy{}, errors.New("connection lost")
		}
		return Copy{Handle: "ahead"}, nil
	})
	r := h.run(t, "a")
	r.Event()
	h.leave("source")
	require.Equal(t, "source:1/ahead", awaitHandoff(t, r).From)
}

// Guards against a stopped run that stays nowhere: if its target went away at the
// last moment, it goes on at its source.
func TestStoppedRunWithoutRoomGoesOnAtItsSource(t *testing.T) {
	h := newHarness(t, freeTurns{}, func(_ int, o CopyOrder) (Copy, error) {
		if o.Final {
			return Copy{Handle: "stopped"}, ErrNoRoom
		}
		return Copy{Handle: "h"}, nil
	})
	r := h.run(t, "a")
	r.Event()
	h.leave("source")
	handoff := awaitHandoff(t, r)
	require.Equal(t, "source", handoff.Target.ID)
	require.Equal(t, "source:1/stopped", handoff.From)
}

// Guards against a run that ended by itself and goes on elsewhere.
func TestRunThatHasEndedIsNotHandedOff(t *testing.T) {
	h := newHarness(t, freeTurns{}, func(int, CopyOrder) (Copy, error) { return Copy{}, ErrNoSuchRun })
	r := h.run(t, "a")
	r.Event()
	h.leave("source")
	require.Eventually(t, func() bool { return len(h.engines.made()) > 0 }, time.Second, time.Millisecond)
	_, ok := r.Continue(t.Context())
	require.False(t, ok)
}

// Guards against the copy of a run that ended meanwhile and keeps the memory of
// its target.
func TestUnusedCopyIsFreed(t *testing.T) {
	h := newHarness(t, freeTurns{}, func(_ int, o CopyOrder) (Copy, error) {
		if o.Final {
			return Copy{}, ErrNoSuchRun
		}
		return Copy{Handle: "ahead"}, nil
	})
	r := h.run(t, "a")
	r.Event()
	h.leave("source")
	require.Eventually(t, func() bool {
		h.engines.mu.Lock()
		defer h.engines.mu.Unlock()
		return len(h.engines.freed) == 1 && h.engines.freed[0] == "ahead"
	}, time.Second, time.Millisecond)
}

// Guards against a run that is moved to an upstream which then leaves too, and is
// not moved again.
func TestRunMovesAgainWithItsUpstream(t *testing.T) {
	h := newHarness(t, freeTurns{}, func(int, CopyOrder) (Copy, error) { return Copy{Handle: "h"}, nil })
	r := h.run(t, "a")
	r.Event()
	h.leave("source")
	first := awaitHandoff(t, r)
	h.relocator.Moved(t.Context(), r, first.Target)
	h.leave(first.Target.ID)
	require.Equal(t, "far", awaitHandoff(t, r).Target.ID)
	h.relocator.End(r)
	require.Empty(t, h.relocator.runs)
}

// Guards against turns by size alone: what is lost for each token copied counts.
func TestWorthOfARun(t *testing.T) {
	long := NewRun("long", "lm", directory.View{}, 1000, 900)
	short := NewRun("short", "lm", directory.View{}, 1000, 10)
	require.Greater(t, long.worth(4), short.worth(4))
	before := long.worth(4)
	for range 200 {
		long.Event()
	}
	require.Less(t, long.worth(4), before, "there is more to copy")
}
