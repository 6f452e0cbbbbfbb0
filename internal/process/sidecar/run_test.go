package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/handover"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// stoppableSidecar serves with the real listener and runs the shutdown of Run
// when it is stopped.
type stoppableSidecar struct {
	*harness
	stopped chan error
}

// serve replaces the harness's server by the real listener.
func (h *harness) serve() *stoppableSidecar {
	peers, err := h.sidecar.listen("127.0.0.1:0", h.sidecar.handler())
	require.NoError(h.t, err)
	h.url = "http://" + peers.Address()
	ctx, cancel := context.WithCancel(context.Background())
	s := &stoppableSidecar{h, make(chan error, 1)}
	stopLoops := h.stop
	go func() {
		<-ctx.Done()
		err := h.sidecar.shutdown(context.Background(), peers)
		stopLoops()
		s.stopped <- err
	}()
	h.t.Cleanup(cancel)
	h.stop = cancel
	return s
}

func (s *stoppableSidecar) awaitStop() {
	select {
	case err := <-s.stopped:
		require.NoError(s.t, err)
	case <-time.After(waitTimeout):
		require.Fail(s.t, "the sidecar did not stop")
	}
}

// Guards against a planned stop that aborts a running generation or that leaves
// queued work without an outcome.
func TestPlannedStopFinishesGenerations(t *testing.T) {
	e, h := newEngineHarness(t)
	s := h.serve()
	limit := h.report().Limit
	var running []*frames
	for range limit {
		stream, _ := h.startGeneration(e)
		running = append(running, stream)
	}
	waiting := h.generation()
	queued := h.offer(context.Background(), waiting)
	h.await(func() bool { return h.query(waiting.ID).State == attempt.StateQueued })
	h.stop()
	requireOutcome(t, queued.last(), problem.OutcomeNotRun)
	requireOutcome(t, h.offer(context.Background(), h.generation()).last(), problem.OutcomeNotRun)
	require.Equal(t, load.PhaseLeaving, h.report().Phase)
	select {
	case err := <-s.stopped:
		require.Fail(t, "the process stopped before its work was finished", "%v", err)
	case <-time.After(100 * time.Millisecond):
	}
	e.generate(6, true)
	for _, stream := range running {
		requireTokens(t, stream, 0, 6)
	}
	s.awaitStop()
}

// Guards against an order that a planned stop reports as lost while the upstream
// still runs it, whether or not its requester is connected.
func TestPlannedStopFinishesOrders(t *testing.T) {
	upstream, h := newPlainHarness(t, 8, true)
	s := h.serve()
	first := h.order(h.mint())
	ctx, disconnect := context.WithCancel(context.Background())
	require.Equal(t, frame.KindAccepted, h.offer(ctx, first).next().Kind)
	h.await(func() bool { return upstream.calls.Load() == 1 })
	disconnect()
	h.stop()
	h.await(h.sidecar.health.leaving)
	select {
	case err := <-s.stopped:
		require.Fail(t, "the process stopped before the order was finished", "%v", err)
	case <-time.After(100 * time.Millisecond):
	}
	retried := h.offer(context.Background(), h.order(first.OrderKey))
	require.Equal(t, frame.KindAccepted, retried.next().Kind)
	close(upstream.hold)
	require.Equal(t, frame.KindResponse, retried.last().Kind)
	s.awaitStop()
	require.Equal(t, attempt.StateDone, h.sidecar.ledger.Query(first.ID).State)
}

// Guards against a planned stop that waits for longer than the shutdown notice,
// after which the platform kills the process.
func TestPlannedStopEndsWithinTheNotice(t *testing.T) {
	e, h := newEngineHarness(t)
	h.sidecar.settings.ShutdownNoticeMillis = 200
	s := h.serve()
	h.startGeneration(e)
	h.stop()
	select {
	case err := <-s.stopped:
		require.ErrorIs(t, err, context.DeadlineExceeded)
	case <-time.After(waitTimeout):
		require.Fail(t, "the sidecar did not stop")
	}
}

// Guards against a listener that does not report the disconnect of a requester
// whose work is queued.
func TestListenerReportsDisconnectedRequesters(t *testing.T) {
	upstream, h := newPlainHarness(t, 1, true)
	h.serve()
	h.requireRevokedAtDisconnect(upstream)
}

// Guards against accepting work on an instance that the instance list showed as
// leaving or replaced, even after an older list was read.
func TestInstanceListMakesTheSidecarLeave(t *testing.T) {
	for name, listed := range map[string]instance.Instance{
		"leaving":  {Name: "a-1", Service: "hire-app", Slot: "a", SlotIncarnation: 1, State: instance.StateLeaving},
		"replaced": {Name: "a-2", Service: "hire-app", Slot: "a", SlotIncarnation: 2, State: instance.StateLive},
	} {
		t.Run(name, func(t *testing.T) {
			_, h := newPlainHarness(t, 8, false)
			h.sidecar.setInstances([]instance.Instance{listed}, time.Now())
			requireOutcome(t, h.offer(context.Background(), h.order("")).last(), problem.OutcomeNotRun)
			h.sidecar.setInstances(nil, time.Now())
			require.Equal(t, load.PhaseLeaving, h.report().Phase)
		})
	}
}

// Guards against ending the quarantine while an earlier holder of the slot may
// still run orders.
func TestEarlierHolderOfTheSlotExtendsTheQuarantine(t *testing.T) {
	_, h := newPlainHarness(t, 8, false)
	h.sidecar.settings.SlotIncarnation = 2
	earlier := instance.Instance{Name: "a-0", Service: "hire-app", Slot: "a", SlotIncarnation: 1, State: instance.StateLive}
	h.sidecar.setInstances([]instance.Instance{earlier}, time.Now())
	h.advance(h.service.KeyLifetime() + time.Minute)
	h.sidecar.checkInstances(h.sidecar.clock())
	requireOutcome(t, h.offer(context.Background(), h.order("opaque")).last(), problem.OutcomeUnknown)
}

// Guards against a successor that refuses its predecessor's opaque keys after a
// planned stop, runs them again, or takes the ledger twice.
func TestLedgerIsHandedOver(t *testing.T) {
	upstream := newFakeService(t, false)
	peerHarness := newHarness(t, plainService(8, "a", "b"), newFakeService(t, false).URL)
	peerHarness.sidecar.settings.Slot, peerHarness.sidecar.settings.Instance = "b", "b-1"
	peer := instance.Instance{
		Name: "b-1", Service: "hire-app", Slot: "b", State: instance.StateLive,
		SidecarAddress: strings.TrimPrefix(peerHarness.server.URL, "http://"),
	}
	h := newHarness(t, plainService(8, "a"), upstream.URL)
	h.advance(h.service.KeyLifetime() + time.Minute)
	require.Equal(t, frame.KindResponse, h.offer(context.Background(), h.order("opaque")).last().Kind)
	h.sidecar.setInstances([]instance.Instance{peer}, time.Now())
	s := h.serve()
	h.stop()
	s.awaitStop()
	require.False(t, h.sidecar.takeLedger(context.Background()), "a leaving sidecar must not take its own ledger")

	h.clockOffset.Store(0)
	h.start()
	h.sidecar.setInstances([]instance.Instance{peer}, time.Now())
	rules := quarantineRules(&h.service)
	h.await(func() bool { return h.sidecar.quarantine.EndsAt(rules).IsZero() })
	end := h.offer(context.Background(), h.order("opaque")).last()
	require.Equal(t, "booking 1", string(end.Body))
	require.True(t, end.Replayed)
	require.Equal(t, frame.KindResponse, h.offer(context.Background(), h.order("new")).last().Kind)
	require.False(t, h.sidecar.takeLedger(context.Background()))
	require.EqualValues(t, 2, upstream.calls.Load())
}

// Guards against a sidecar that cannot be created from its settings, drained
// over the admin interface, or stopped.
func TestRunServesAndStops(t *testing.T) {
	_, h := newPlainHarness(t, 8, false)
	path := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(path, []byte(secret+"\n"), 0o600))
	set := &settings.Settings{
		Name: "sidecar-a", Service: "hire-app", Instance: "a-1", Slot: "a", PeerAddress: "127.0.0.1:0",
		AdminAddress: "127.0.0.1:0", PeerSecretFile: path, UpstreamAddress: h.upstream,
	}
	s, err := New(set, h.sidecar.log, h.sidecar.telemetry)
	require.NoError(t, err)
	recorder := httptest.NewRecorder()
	s.adminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/drain", nil))
	require.Equal(t, http.StatusAccepted, recorder.Code)
	require.True(t, s.health.leaving())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Run(ctx) }()
	cancel()
	require.NoError(t, <-stopped)
}

// Guards against a process that hangs instead of reporting that it cannot listen
// on its address.
func TestUnusableAddressIsAnError(t *testing.T) {
	_, h := newPlainHarness(t, 8, false)
	h.sidecar.settings.PeerAddress = "256.0.0.1:0"
	result := make(chan error, 1)
	go func() { result <- h.sidecar.Run(context.Background()) }()
	select {
	case err := <-result:
		require.Error(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "Run did not return")
	}
}

// Guards against a ledger that no peer accepts because it is too large with the
// stored answers.
func TestLargeLedgerIsHandedOverWithoutAnswers(t *testing.T) {
	d := handover.Document{Service: "hire-app", Slot: "a"}
	for range 3 {
		result := &ledger.Result{Status: http.StatusCreated, Body: make([]byte, maxDocumentBytes/2)}
		d.Entries = append(d.Entries, ledger.Entry{Key: "k", State: attempt.StateDone, Result: result})
	}
	body, err := encodeDocument(d)
	require.NoError(t, err)
	require.Less(t, len(body), maxDocumentBytes)
	var decoded handover.Document
	require.NoError(t, json.Unmarshal(body, &decoded))
	require.Len(t, decoded.Entries, 3)
	require.True(t, decoded.Entries[0].Result.Dropped)
}
