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
	"github.com/flamingohold/flamingohold/internal/process/router/ratepermit"
	"github.com/flamingohold/flamingohold/internal/process/router/sendgate"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
	"github.com/flamingohold/flamingohold/internal/process/router/upstreampause"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// scriptedCopyClient responds to copy requests as the test specifies, and
// records them.
type scriptedCopyClient struct {
	mu       sync.Mutex
	requests []CopyRequest
	freed    []string
	respond  func(n int, request CopyRequest) (Copy, error)
}

func (s *scriptedCopyClient) Copy(_ context.Context, request CopyRequest) (Copy, error) {
	s.mu.Lock()
	s.requests = append(s.requests, request)
	n := len(s.requests)
	s.mu.Unlock()
	return s.respond(n, request)
}

func (s *scriptedCopyClient) Free(_ context.Context, _, handle string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, handle)
	return nil
}

func (s *scriptedCopyClient) CopySource(source, handle string) string { return source + "/" + handle }

func (s *scriptedCopyClient) recordedRequests() []CopyRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]CopyRequest{}, s.requests...)
}

// stubTurns grants every link except those of the upstreams in inUse. If
// inUseUntil is set, these are granted too after that time.
type stubTurns struct {
	inUse      map[string]bool
	inUseUntil time.Time
}

func (stubTurns) Acquire(context.Context, directory.View, string, float64) func() { return func() {} }

func (s stubTurns) TryAcquire(_ context.Context, v directory.View, _ string) (func(), bool) {
	return func() {}, !s.inUse[v.ID] || (!s.inUseUntil.IsZero() && time.Now().After(s.inUseUntil))
}

// stubPermits grants permits for every upstream except those in limited, which state
// a limit.
type stubPermits struct{ limited map[string]bool }

func (s *stubPermits) Limit(u statedlimit.Upstream) statedlimit.Limit {
	return statedlimit.Limit{Upstream: u, Limited: s.limited[u.ID]}
}

func (s *stubPermits) Acquire(_ context.Context, u statedlimit.Upstream, _ time.Duration) ratepermit.Decision {
	return ratepermit.Decision{Granted: !s.limited[u.ID]}
}

type harness struct {
	directory *directory.Directory
	client    *scriptedCopyClient
	permits   stubPermits
	relocator *Relocator
}

func newHarness(t *testing.T, turns Turns, respond func(n int, request CopyRequest) (Copy, error)) *harness {
	t.Helper()
	h := &harness{client: &scriptedCopyClient{respond: respond}}
	h.directory = directory.New(eventlog.Discard(), func(string, string) (float64, bool) { return 0.01, true })
	for i, id := range []string{"source", "near", "far"} {
		centre := "dc-1"
		if id == "far" {
			centre = "dc-2"
		}
		h.directory.Upsert(directory.Entry{
			ID: id, Service: "lm", Address: id + ":1", DataCentre: centre, ConcurrencyLimit: 8, Incarnation: int64(i + 1),
		}, time.Now())
	}
	gate := sendgate.New(sendgate.Options{Directory: h.directory, Pauses: upstreampause.New(), Limits: &h.permits, Permits: &h.permits, Clock: time.Now})
	h.relocator = New(Options{
		CopyClient: h.client, Directory: h.directory, Turns: turns, Gate: gate, Log: eventlog.Discard(), Clock: time.Now,
		Random: func() float64 { return 0 },
		Engine: func(string) *routetable.Engine { return &routetable.Engine{MemoryTokens: 1000, EventTokens: 4} },
	})
	h.directory.OnDeparture(func(id string) { h.relocator.MoveAll(t.Context(), id) })
	return h
}

// run starts a run at the source.
func (h *harness) run(t *testing.T, id string) *Run {
	t.Helper()
	source, ok := h.directory.Upstream("source", time.Now())
	require.True(t, ok)
	r := NewRun(id, "lm", source, 100, 50)
	h.relocator.Begin(t.Context(), r)
	return r
}

func (h *harness) leave(id string) {
	h.directory.ObserveReport(id, directory.Report{Leaving: true}, time.Now())
}

// moveRun starts a run at the source, which then leaves.
func (h *harness) moveRun(t *testing.T) *Run {
	t.Helper()
	r := h.run(t, "r1")
	r.Event()
	h.leave("source")
	return r
}

func finalRequests(requests []CopyRequest) []CopyRequest {
	var final []CopyRequest
	for _, c := range requests {
		if c.Final {
			final = append(final, c)
		}
	}
	return final
}

// Guards against copying the runs of several upstreams to one upstream that has
// just been listed and has not reported. Six copies over one link took longer
// than the 1.5 s of notice before the upstreams left, and each delayed the
// other copies from its source.
func TestReportedUpstreamIsPreferredAsTarget(t *testing.T) {
	h := newHarness(t, stubTurns{}, copyAtOnce)
	h.directory.ObserveReport("far", directory.Report{Running: 3, MemoryUsed: 500, MemoryTotal: 1000}, time.Now())
	r := h.moveRun(t)
	require.Equal(t, "far", settledHandoff(t, r).Target.ID)
}

// Guards against moving a run to an upstream that states a limit which is used up.
func TestTargetWhoseLimitIsUsedUpIsNotChosen(t *testing.T) {
	h := newHarness(t, stubTurns{}, copyAtOnce)
	h.permits.limited = map[string]bool{"near": true}
	r := h.moveRun(t)
	require.Equal(t, "far", settledHandoff(t, r).Target.ID)
}

// Guards against moving several runs at once to a cold upstream whose rate allows one request.
func TestMovesKeepToTheRateOfAColdTarget(t *testing.T) {
	h := newHarness(t, stubTurns{}, copyAtOnce)
	cold := directory.Entry{
		ID: "near", Service: "lm", Address: "near:1", DataCentre: "dc-1", ConcurrencyLimit: 8, Incarnation: 2, ColdDuration: time.Minute,
	}
	h.directory.Upsert(cold, time.Now())
	targets := map[string]int{}
	runs := []*Run{h.run(t, "r1"), h.run(t, "r2"), h.run(t, "r3")}
	for _, r := range runs {
		r.Event()
	}
	h.leave("source")
	for _, r := range runs {
		targets[settledHandoff(t, r).Target.ID]++
	}
	require.Equal(t, map[string]int{"near": 1, "far": 2}, targets)
}

// Guards against all routers falling back to the same upstream when the links of
// all queried upstreams are in use.
func TestTargetIsRandomWhenAllLinksAreInUse(t *testing.T) {
	chosen := map[string]bool{}
	for i := range 4 {
		h := newHarness(t, stubTurns{inUse: map[string]bool{"near": true, "far": true}}, copyAtOnce)
		h.relocator.random = func() float64 { return float64(i) / 4 }
		r := h.moveRun(t)
		chosen[settledHandoff(t, r).Target.ID] = true
	}
	require.Equal(t, map[string]bool{"near": true, "far": true}, chosen)
}

// Guards against a copy to another data centre, which takes twice as long,
// while an upstream in the same data centre has room. The notice before an
// upstream leaves is short.
func TestTargetInSameDataCentreIsPreferred(t *testing.T) {
	h := newHarness(t, stubTurns{}, copyAtOnce)
	h.directory.ObserveReport("near", directory.Report{Running: 5, MemoryUsed: 700, MemoryTotal: 1000}, time.Now())
	h.directory.ObserveReport("far", directory.Report{MemoryTotal: 1000}, time.Now())
	r := h.moveRun(t)
	require.Equal(t, "near", settledHandoff(t, r).Target.ID)
}

// Guards against copies from several upstreams over the link of the only target
// with room. Five of them took longer than the notice before the upstreams
// left, although each source could have copied to engines that were listed
// 0.3 s later.
func TestCopyWaitsForFreeLink(t *testing.T) {
	free := time.Now().Add(150 * time.Millisecond)
	h := newHarness(t, stubTurns{inUse: map[string]bool{"near": true, "far": true}, inUseUntil: free}, copyAtOnce)
	r := h.moveRun(t)
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, h.client.recordedRequests())
	settledHandoff(t, r)
	require.False(t, time.Now().Before(free))
}

// copyAtOnce completes each copy at once.
func copyAtOnce(int, CopyRequest) (Copy, error) { return Copy{Handle: "h", Events: 1}, nil }

// settledHandoff waits until the move has ended and returns the handoff of the
// run.
func settledHandoff(t *testing.T, r *Run) Handoff {
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

// Guards against stopping a run while much of its memory is still to be copied,
// which the caller sees as a pause.
func TestRunIsStoppedOnlyAfterShortCopy(t *testing.T) {
	h := newHarness(t, stubTurns{}, func(n int, request CopyRequest) (Copy, error) {
		if n < 3 {
			time.Sleep(2 * finalCopyThreshold)
		}
		return Copy{Handle: "h", Events: 7}, nil
	})
	r := h.moveRun(t)
	require.Eventually(t, func() bool { return len(finalRequests(h.client.recordedRequests())) == 1 }, time.Second, time.Millisecond)
	handoff, ok := r.TakeHandoff(t.Context())
	require.True(t, ok)
	require.Equal(t, "near", handoff.Target.ID, "a copy within the data centre takes half the time")
	require.Equal(t, "source:1/h", handoff.CopySource)
	require.Equal(t, 7, handoff.Events)
	require.Len(t, h.client.recordedRequests(), 4)
}

// Guards against copies of a run that has not started: there is nothing to copy,
// and the link would be kept from other runs.
func TestRunIsNotCopiedBeforeFirstEvent(t *testing.T) {
	h := newHarness(t, stubTurns{}, func(int, CopyRequest) (Copy, error) { return Copy{Handle: "h"}, nil })
	r := h.run(t, "a")
	h.leave("source")
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, h.client.recordedRequests())
	r.Event()
	require.Eventually(t, func() bool { return len(finalRequests(h.client.recordedRequests())) == 1 }, time.Second, time.Millisecond)
}

// Guards against two copies that share a target's link, which takes twice as
// long.
func TestTargetWithLinkInUseIsAvoided(t *testing.T) {
	h := newHarness(t, stubTurns{inUse: map[string]bool{"near": true}}, func(int, CopyRequest) (Copy, error) {
		return Copy{Handle: "h"}, nil
	})
	r := h.moveRun(t)
	handoff := awaitHandoff(t, r)
	require.Equal(t, "far", handoff.Target.ID)
}

func awaitHandoff(t *testing.T, r *Run) Handoff {
	t.Helper()
	var handoff Handoff
	require.Eventually(t, func() bool {
		h, ok := r.TakeHandoff(t.Context())
		handoff = h
		return ok
	}, 2*time.Second, 5*time.Millisecond)
	return handoff
}

// Guards against abandoning a run because the first target is full.
func TestAnotherTargetIsTriedWhenFirstIsFull(t *testing.T) {
	h := newHarness(t, stubTurns{}, func(_ int, request CopyRequest) (Copy, error) {
		if request.TargetAddress == "near:1" {
			return Copy{}, ErrNoRoom
		}
		return Copy{Handle: "h"}, nil
	})
	r := h.moveRun(t)
	require.Equal(t, "far", awaitHandoff(t, r).Target.ID)
}

// Guards against losing a run because the response to its final copy was lost.
// The previous copy holds nearly all of its memory.
func TestFailedFinalCopyFallsBackToPreviousCopy(t *testing.T) {
	h := newHarness(t, stubTurns{}, func(_ int, request CopyRequest) (Copy, error) {
		if request.Final {
			return Copy{}, errors.New("connection lost")
		}
		return Copy{Handle: "ahead"}, nil
	})
	r := h.moveRun(t)
	require.Equal(t, "source:1/ahead", awaitHandoff(t, r).CopySource)
}

// Guards against a stopped run that is not resumed anywhere. If the target
// fails at the last moment, the run resumes at its source.
func TestStoppedRunResumesAtSourceWithoutRoomAtTarget(t *testing.T) {
	h := newHarness(t, stubTurns{}, func(_ int, request CopyRequest) (Copy, error) {
		if request.Final {
			return Copy{Handle: "stopped"}, ErrNoRoom
		}
		return Copy{Handle: "h"}, nil
	})
	r := h.moveRun(t)
	handoff := awaitHandoff(t, r)
	require.Equal(t, "source", handoff.Target.ID)
	require.Equal(t, "source:1/stopped", handoff.CopySource)
}

// Guards against resuming a run that has ended normally.
func TestEndedRunIsNotHandedOff(t *testing.T) {
	h := newHarness(t, stubTurns{}, func(int, CopyRequest) (Copy, error) { return Copy{}, ErrNoSuchRun })
	r := h.moveRun(t)
	require.Eventually(t, func() bool { return len(h.client.recordedRequests()) > 0 }, time.Second, time.Millisecond)
	_, ok := r.TakeHandoff(t.Context())
	require.False(t, ok)
}

// Guards against a copy that occupies memory of the target although its run has
// ended.
func TestUnusedCopyIsFreed(t *testing.T) {
	h := newHarness(t, stubTurns{}, func(_ int, request CopyRequest) (Copy, error) {
		if request.Final {
			return Copy{}, ErrNoSuchRun
		}
		return Copy{Handle: "ahead"}, nil
	})
	h.moveRun(t)
	require.Eventually(t, func() bool {
		h.client.mu.Lock()
		defer h.client.mu.Unlock()
		return len(h.client.freed) == 1 && h.client.freed[0] == "ahead"
	}, time.Second, time.Millisecond)
}

// Guards against a run that is not moved again when its target leaves too.
func TestRunMovesAgainWhenTargetLeaves(t *testing.T) {
	h := newHarness(t, stubTurns{}, func(int, CopyRequest) (Copy, error) { return Copy{Handle: "h"}, nil })
	r := h.moveRun(t)
	first := awaitHandoff(t, r)
	h.relocator.RecordMove(t.Context(), r, first.Target)
	h.leave(first.Target.ID)
	require.Equal(t, "far", awaitHandoff(t, r).Target.ID)
	h.relocator.End(r)
	require.Empty(t, h.relocator.runs)
}

// Guards against moving a run to an engine whose pace exceeds the gap that its caller
// accepts, also if only slow engines and one that cannot be used have room.
func TestMovesAvoidSlowTargets(t *testing.T) {
	for gap, want := range map[time.Duration]string{0: "near", 180 * time.Millisecond: "far"} {
		h := newHarness(t, stubTurns{}, copyAtOnce)
		for id, eventTime := range map[string]time.Duration{"source": 25 * time.Millisecond, "near": 60 * time.Millisecond, "far": 25 * time.Millisecond} {
			h.directory.ObserveReport(id, directory.Report{MemoryTotal: 1000, EventTime: eventTime}, time.Now())
		}
		source, ok := h.directory.Upstream("source", time.Now())
		require.True(t, ok)
		r := NewRun("r1", "lm", source, 100, 50).WithMaxEventGap(gap)
		h.relocator.Begin(t.Context(), r)
		r.Event()
		h.leave("source")
		require.Equal(t, want, settledHandoff(t, r).Target.ID)
	}
}

// Guards against a run near its end that avoids slow engines as a long one does.
func TestRemainingEvents(t *testing.T) {
	r := NewRun("r", "lm", directory.View{}, 1000, 42)
	for want := 10; want >= -2; want-- {
		require.Equal(t, max(0, want), r.remainingEvents(4))
		r.Event()
	}
	require.Equal(t, 42-r.Events(), r.remainingEvents(0), "an event has one token at least")
}

// Guards against ordering runs by size alone. The priority is the value lost per
// token copied.
func TestRunPriority(t *testing.T) {
	long := NewRun("long", "lm", directory.View{}, 1000, 900)
	short := NewRun("short", "lm", directory.View{}, 1000, 10)
	require.Greater(t, long.priority(4), short.priority(4))
	before := long.priority(4)
	for range 200 {
		long.Event()
	}
	require.Less(t, long.priority(4), before, "there is more to copy")
}
