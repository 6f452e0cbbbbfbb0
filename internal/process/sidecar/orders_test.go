package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

func (h *harness) mint() string {
	var minted attempt.MintedKey
	require.Equal(h.t, http.StatusOK, h.call(http.MethodPost, "/v1/order-keys", nil, &minted))
	return minted.OrderKey
}

// queueOrder offers an order that runs and another one that waits behind it, whose
// requester has the context.
func (h *harness) queueOrder(ctx context.Context) (running, queued *frames, waiting *attempt.Attempt) {
	running = h.offer(context.Background(), h.order(""))
	require.Equal(h.t, frame.KindAccepted, running.next().Kind)
	waiting = h.order("")
	queued = h.offer(ctx, waiting)
	h.await(func() bool { return h.query(waiting.ID).State == attempt.StateQueued })
	return running, queued, waiting
}

// requireRevokedAtDisconnect requires that an order is revoked whose requester
// disconnects while it waits behind another one.
func (h *harness) requireRevokedAtDisconnect(upstream *fakeService) {
	ctx, disconnect := context.WithCancel(context.Background())
	running, _, waiting := h.queueOrder(ctx)
	disconnect()
	h.await(func() bool { return h.query(waiting.ID).State == attempt.StateRevoked })
	close(upstream.hold)
	require.Equal(h.t, frame.KindResponse, running.last().Kind)
}

// requireOutcome requires a failed frame whose problem has the outcome.
func requireOutcome(t *testing.T, f frame.Frame, outcome string) {
	t.Helper()
	require.Equal(t, frame.KindFailed, f.Kind)
	require.Equal(t, outcome, f.Problem.Outcome, f.Problem.Error())
	require.NotEmpty(t, f.Problem.Peer)
	require.NotEmpty(t, f.Problem.Step)
	require.Equal(t, outcome == problem.OutcomeNotRun, f.Problem.Retryable)
}

// Guards against a second booking when a copy of an order arrives while the
// first one runs, after it is done, or as another attempt with the same key.
func TestRepeatedOrderRunsOnce(t *testing.T) {
	upstream, h := newPlainHarness(t, 8, true)
	key := h.mint()
	first := h.order(key)
	stream := h.offer(context.Background(), first)
	require.Equal(t, frame.KindAccepted, stream.next().Kind)
	copied := h.offer(context.Background(), first)
	retried := h.offer(context.Background(), h.order(key))
	require.Equal(t, attempt.StateRunning, h.revoke(first).State)
	h.await(func() bool { return upstream.calls.Load() == 1 })
	close(upstream.hold)
	for _, f := range []*frames{stream, copied, retried, h.offer(context.Background(), h.order(key))} {
		end := f.last()
		require.Equal(t, frame.KindResponse, end.Kind)
		require.Equal(t, http.StatusCreated, end.Status)
		require.Equal(t, "booking 1", string(end.Body))
	}
	require.Equal(t, "booking 1", string(h.query(first.ID).Response.Body))
	other := h.order(key)
	other.Request.Body = []byte(`{"stand":8}`)
	refusal := h.offer(context.Background(), other).next()
	require.Equal(t, http.StatusUnprocessableEntity, refusal.Problem.Status)
	require.EqualValues(t, 1, upstream.calls.Load())
}

// Guards against running an order after it was reported to its caller as not run,
// because the revocation arrived before the first copy.
func TestRevocationBeforeTheFirstCopy(t *testing.T) {
	upstream, h := newPlainHarness(t, 8, false)
	a := h.order("")
	require.Equal(t, attempt.StateRevoked, h.revoke(a).State)
	requireOutcome(t, h.offer(context.Background(), a).next(), problem.OutcomeNotRun)
	require.Zero(t, upstream.calls.Load())
}

// Guards against reporting a second attempt that has not arrived as not run,
// while an attempt with its key runs or has run, or may still arrive.
func TestRevocationOfAnUnseenAttemptAppliesToItsKey(t *testing.T) {
	upstream, h := newPlainHarness(t, 8, true)
	key := h.mint()
	first := h.offer(context.Background(), h.order(key))
	require.Equal(t, frame.KindAccepted, first.next().Kind)
	h.await(func() bool { return upstream.calls.Load() == 1 })
	second := h.order(key)
	require.Equal(t, attempt.StateRunning, h.revoke(second).State)
	close(upstream.hold)
	require.Equal(t, frame.KindResponse, first.last().Kind)
	require.Equal(t, "booking 1", string(h.query(second.ID).Response.Body))
	require.Equal(t, "booking 1", string(h.revoke(h.order(key)).Response.Body))
	require.Equal(t, attempt.StateUnknown, h.revoke(h.order(h.mint())).State)
	require.EqualValues(t, 1, upstream.calls.Load())
}

// Guards against reporting an order as not run that the upstream read before it
// failed, and against running that order again.
func TestUpstreamFailsDuringAnOrder(t *testing.T) {
	upstream, h := newPlainHarness(t, 8, false)
	upstream.abort.Store(true)
	key := h.mint()
	requireOutcome(t, h.offer(context.Background(), h.order(key)).last(), problem.OutcomeUnknown)
	upstream.abort.Store(false)
	end := h.offer(context.Background(), h.order(key)).last()
	require.Equal(t, problem.OutcomeUnknown, end.Problem.Outcome)
	require.EqualValues(t, 1, upstream.calls.Load())
}

// Guards against reporting the outcome of an order as unknown that was sent to
// no upstream, and against accepting work for an unreachable upstream.
func TestUnreachableUpstreamRunsNothing(t *testing.T) {
	upstream, h := newPlainHarness(t, 8, false)
	key := h.mint()
	upstream.Close()
	requireOutcome(t, h.offer(context.Background(), h.order(key)).last(), problem.OutcomeNotRun)
	h.await(func() bool { return h.report().Phase == load.PhaseStarting })
	requireOutcome(t, h.offer(context.Background(), h.order("")).last(), problem.OutcomeNotRun)
}

// Guards against a paused process that starts work after the admission timeout.
func TestPausedProcessRevokesExpiredWork(t *testing.T) {
	upstream, h := newPlainHarness(t, 1, true)
	running, queued, waiting := h.queueOrder(context.Background())
	h.advance(time.Hour)
	close(upstream.hold)
	requireOutcome(t, queued.last(), problem.OutcomeNotRun)
	require.Equal(t, frame.KindResponse, running.last().Kind)
	require.Equal(t, attempt.StateRevoked, h.query(waiting.ID).State)
	require.EqualValues(t, 1, upstream.calls.Load())
}

// Guards against starting work whose requester has disconnected.
func TestQueuedWorkOfADisconnectedRequesterIsRevoked(t *testing.T) {
	upstream, h := newPlainHarness(t, 1, true)
	h.requireRevokedAtDisconnect(upstream)
	require.EqualValues(t, 1, upstream.calls.Load())
}

// Guards against a second run of an order with an opaque key by a slot that is
// not the key's home slot, after a restart without a hand-over, or after a change of
// the slots.
func TestOpaqueKeysAreRefusedOutsideTheirHomeOrInQuarantine(t *testing.T) {
	upstream := newFakeService(t, false)
	h := newHarness(t, plainService(8, "b"), upstream.URL)
	refusal := h.offer(context.Background(), h.order("opaque")).next()
	requireOutcome(t, refusal, problem.OutcomeUnknown)
	require.Contains(t, refusal.Problem.Type, "not_home")

	h.service.Slots = []string{"a"}
	h.publish()
	early := h.order("opaque")
	refusal = h.offer(context.Background(), early).next()
	requireOutcome(t, refusal, problem.OutcomeUnknown)
	require.Contains(t, refusal.Problem.Type, "quarantine")
	require.Zero(t, upstream.calls.Load())

	offered := h.offer(context.Background(), h.order(refusal.Problem.OrderKey)).last()
	require.Equal(t, frame.KindResponse, offered.Kind, "the offered key must be accepted")

	h.advance(h.service.KeyLifetime() - time.Minute)
	late := h.order("opaque")
	h.advance(2 * time.Minute)
	requireOutcome(t, h.offer(context.Background(), late).next(), problem.OutcomeUnknown)
	require.Equal(t, frame.KindResponse, h.offer(context.Background(), h.order("opaque")).last().Kind)
	require.EqualValues(t, 2, upstream.calls.Load())
}

// Guards against a restarted sidecar that runs an order, or reports it as not
// run, although its predecessor may have run it.
func TestRestartedSidecarRefusesItsPredecessorsOrders(t *testing.T) {
	upstream, h := newPlainHarness(t, 8, false)
	key := h.mint()
	done := h.order(key)
	require.Equal(t, frame.KindResponse, h.offer(context.Background(), done).last().Kind)
	h.restart()
	require.Equal(t, attempt.StateUnknown, h.query(done.ID).State)
	require.Equal(t, attempt.StateUnknown, h.revoke(done).State)
	requireOutcome(t, h.offer(context.Background(), done).next(), problem.OutcomeUnknown)
	requireOutcome(t, h.offer(context.Background(), h.order(key)).next(), problem.OutcomeUnknown)
	require.EqualValues(t, 1, upstream.calls.Load())
}

// Guards against refusing the retry of an order that the upstream deduplicates
// itself.
func TestLostOrderMayBeRepeatedIfTheUpstreamDeduplicates(t *testing.T) {
	upstream := newFakeService(t, false)
	svc := plainService(8, "b")
	svc.Orders.UpstreamDeduplicates = true
	h := newHarness(t, svc, upstream.URL)
	upstream.abort.Store(true)
	requireOutcome(t, h.offer(context.Background(), h.order("opaque")).last(), problem.OutcomeUnknown)
	upstream.abort.Store(false)
	require.Equal(t, frame.KindResponse, h.offer(context.Background(), h.order("opaque")).last().Kind)
}

// Guards against accepting work in a data centre that is out of service,
// against queued work that is not revoked there, and against running work that
// is interrupted.
func TestDataCentreOutOfService(t *testing.T) {
	upstream, h := newPlainHarness(t, 1, true)
	running, queued, _ := h.queueOrder(context.Background())
	h.state = fleet.StateOutOfService
	h.publish()
	require.Equal(t, load.PhaseLeaving, h.report().Phase)
	requireOutcome(t, queued.last(), problem.OutcomeNotRun)
	refused := h.order("")
	requireOutcome(t, h.offer(context.Background(), refused).last(), problem.OutcomeNotRun)
	h.state = fleet.StateInService
	h.publish()
	requireOutcome(t, h.offer(context.Background(), refused).last(), problem.OutcomeNotRun)
	close(upstream.hold)
	require.Equal(t, frame.KindResponse, running.last().Kind)
	require.Equal(t, frame.KindResponse, h.offer(context.Background(), h.order("")).last().Kind)
}

// Guards against gateways with outdated load reports that overload a cold
// upstream.
func TestStaleGatewaysCannotOverloadAColdUpstream(t *testing.T) {
	upstream, h := newPlainHarness(t, 64, true)
	limit := h.report().Limit
	require.Less(t, limit, 64)
	var streams []*frames
	for range 32 {
		streams = append(streams, h.offer(context.Background(), h.order("")))
	}
	h.await(func() bool { return int(upstream.calls.Load()) == limit })
	require.Equal(t, 32-limit, h.report().Queued)
	close(upstream.hold)
	for _, stream := range streams {
		require.Equal(t, frame.KindResponse, stream.last().Kind)
	}
}

// Guards against serving peers that do not send the peer secret.
func TestPeersNeedTheSecret(t *testing.T) {
	_, h := newPlainHarness(t, 1, false)
	response := h.request(context.Background(), http.MethodGet, "/v1/state", nil, "Authorization", "Bearer other")
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
}

// Guards against records that are never deleted.
func TestExpiredRecordsAreDeleted(t *testing.T) {
	_, h := newPlainHarness(t, 8, false)
	require.Equal(t, frame.KindResponse, h.offer(context.Background(), h.order(h.mint())).last().Kind)
	h.advance(h.service.KeyLifetime() + ledger.Window)
	h.await(func() bool { return h.sidecar.ledger.Len() == 0 })
}

// Guards against running a copy of an order that was refused as not run while
// the process had no configuration.
func TestOrderRefusedWithoutConfigurationIsNeverRun(t *testing.T) {
	upstream, h := newPlainHarness(t, 8, false)
	inForce := h.configurations.Current()
	h.configurations.mu.Lock()
	h.configurations.current = nil
	h.configurations.mu.Unlock()
	early := h.order("")
	requireOutcome(t, h.offer(context.Background(), early).last(), problem.OutcomeNotRun)
	requireOutcome(t, h.offer(context.Background(), h.order("opaque")).last(), problem.OutcomeUnknown)
	h.configurations.set(inForce)
	requireOutcome(t, h.offer(context.Background(), early).last(), problem.OutcomeNotRun)
	require.Zero(t, upstream.calls.Load())
}

// Guards against a published concurrency limit that takes effect only after a
// restart of the sidecar.
func TestPublishedConcurrencyLimitIsApplied(t *testing.T) {
	_, h := newPlainHarness(t, 16, false)
	h.service.ConcurrencyLimit = 1
	h.publish()
	require.Equal(t, 1, h.report().Limit)
	h.service.ConcurrencyLimit = 160
	h.publish()
	require.Equal(t, 4, h.report().Limit)
}
