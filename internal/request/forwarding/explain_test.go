package forwarding

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/explanation"
	"github.com/flamingohold/flamingohold/internal/process/router/sendgate"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
	"github.com/flamingohold/flamingohold/internal/process/router/waitqueue"
	"github.com/flamingohold/flamingohold/internal/version/route"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// countingGate counts the requests that may be sent, which take permits and tokens.
type countingGate struct {
	Gate
	acquired atomic.Int64
}

func (g *countingGate) Acquire(ctx context.Context, v directory.View, maxWait func() time.Duration) sendgate.Decision {
	g.acquired.Add(1)
	return g.Gate.Acquire(ctx, v, maxWait)
}

// draftQuery describes the request that promptRequest returns for /draft/x.
var draftQuery = explanation.Query{Host: testHost, Path: "/draft/x", Account: "bakery", PromptTokens: waitTokens, OutputTokens: 40}

// report records that the upstream uses the given memory.
func (h *harness) report(id string, running, memoryUsed int) {
	h.directory.ObserveReport(id, directory.Report{Incarnation: 1, Running: running, MemoryUsed: memoryUsed, MemoryTotal: 26_864}, time.Now())
}

// Guards against an explanation that has an effect: one that asks for a reservation or a
// permit, joins the queue, takes the permit of the next request, suspects an upstream or is
// counted; and against one that names another engine than the request then gets.
func TestExplanationsChangeNothing(t *testing.T) {
	busy, free := make(chan string, 1), make(chan string, 1)
	h, reservations := newCompetingHarness(t, grant, recordRanks(busy), recordRanks(free))
	gate := &countingGate{Gate: h.forwarder.Gate}
	scope := tally.NewTestScope("", nil)
	h.forwarder.Gate, h.forwarder.Metrics = gate, NewMetrics(scope)
	var suspected atomic.Int64
	h.directory.OnSuspect(func(string) { suspected.Add(1) })
	// The upstream has not reported a request for a minute, and is suspect for that.
	defer h.directory.TrackUnanswered("u-1", time.Now().Add(-time.Minute))()
	h.limits.Observe(statedlimit.Statement{
		Upstream: statedlimit.Upstream{ID: "u-2", Incarnation: 1}, Limited: true, PerSecond: 0.01, SentAt: time.Now(),
	}, time.Now())
	h.report("u-1", 90, 20_000)
	h.report("u-2", 0, 0)
	before := h.directory.All(time.Time{})
	for range 50 {
		for _, path := range []string{"/draft/x", "/brief/x", "/order/x", "/none"} {
			q := draftQuery
			q.Path = path
			q.PromptTokens = 0
			h.forwarder.Explain(q)
		}
		e := h.forwarder.Explain(draftQuery)
		require.Equal(t, explanation.Send, e.Outcome, e)
		require.Equal(t, []string{"u-2", "u-1"}, []string{e.Engines[0].ID, e.Engines[1].ID})
		require.NotNil(t, e.Engines[0].StatedLimit)
		require.Greater(t, e.Engines[1].Parts.Suspect, 0.0)
	}
	require.ElementsMatch(t, before, h.directory.All(time.Time{}))
	asked, released := reservations.recorded()
	require.Empty(t, asked)
	require.Empty(t, released)
	require.Zero(t, gate.acquired.Load())
	require.Zero(t, suspected.Load())
	require.Zero(t, h.queued())
	require.Empty(t, scope.Snapshot().Counters())
	require.Equal(t, http.StatusOK, <-h.start(h.promptRequest("/draft/x", "a", testKey)), "the only permit is still there")
	require.Equal(t, "a 5", <-free)
	require.EqualValues(t, 1, gate.acquired.Load())
	require.EqualValues(t, 1, suspected.Load(), "the request itself notices what the explanations did not record")
}

// Guards against an outcome or a reason that differs from what happens to such a request.
func TestExplainedOutcomes(t *testing.T) {
	type expectation struct {
		outcome explanation.Outcome
		reason  string
		status  int
	}
	at := func(path, account string) explanation.Query {
		q := draftQuery
		q.Path, q.Account = path, account
		return q
	}
	full := func(h *harness) { h.report("u-1", 10, 26_000) }
	for name, c := range map[string]struct {
		query explanation.Query
		setUp func(h *harness)
		want  expectation
	}{
		"no table":          {draftQuery, func(h *harness) { h.table = nil }, expectation{explanation.Refuse, "no_routes_known", 503}},
		"no route":          {at("/none", "bakery"), nil, expectation{explanation.Refuse, "no_route", 404}},
		"no account":        {at("/draft/x", ""), nil, expectation{explanation.Refuse, "key_unknown", 401}},
		"account unknown":   {at("/draft/x", testKey), nil, expectation{explanation.Refuse, "key_unknown", 401}},
		"public":            {at("/open/x", ""), nil, expectation{explanation.Send, "asks_for_room", 0}},
		"room":              {draftQuery, func(h *harness) { h.report("u-1", 1, 1_000) }, expectation{explanation.Send, "report_shows_room", 0}},
		"full":              {draftQuery, full, expectation{explanation.Wait, "no_room", 0}},
		"urgent, full":      {at("/brief/x", "bakery"), full, expectation{explanation.Send, "asks_for_room", 0}},
		"account, full":     {at("/draft/x", "urgent"), full, expectation{explanation.Send, "asks_for_room", 0}},
		"headroom":          {draftQuery, func(h *harness) { h.report("u-1", 1, 20_000) }, expectation{explanation.Wait, "no_room", 0}},
		"urgent, headroom":  {at("/brief/x", "bakery"), func(h *harness) { h.report("u-1", 1, 20_000) }, expectation{explanation.Send, "asks_for_room", 0}},
		"prompt too long":   {explanation.Query{Host: testHost, Path: "/brief/x", Account: "bakery", PromptTokens: 26_000}, nil, expectation{explanation.Refuse, "deadline_too_short", 503}},
		"no reservations":   {draftQuery, func(h *harness) { h.forwarder.Reservations = nil }, expectation{explanation.Send, "lowest_score", 0}},
		"paused":            {draftQuery, func(h *harness) { h.forwarder.Pauses.Record("u-1", 1, time.Minute, time.Now()) }, expectation{explanation.Refuse, "upstream_limits", 503}},
		"leaving":           {draftQuery, func(h *harness) { h.directory.MarkLeaving("u-1", 1, time.Now()) }, expectation{explanation.Refuse, "no_upstream", 503}},
		"stopping":          {draftQuery, func(h *harness) { h.stop.Store(&Stop{Begin: time.Now().Add(-time.Minute), End: time.Now()}) }, expectation{explanation.Refuse, "stopping", 503}},
		"others in queue":   {draftQuery, queueOne(firstKeyPriority), expectation{explanation.Wait, "behind_others", 0}},
		"before the others": {at("/draft/x", "first"), queueOne(2), expectation{explanation.Send, "report_shows_room", 0}},
		"queue full": {draftQuery, func(h *harness) {
			h.forwarder.Queue = waitqueue.New(waitqueue.Bounds{Requests: 1})
			queueOne(firstKeyPriority)(h)
		}, expectation{explanation.Refuse, "queue_full", 503}},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newCompetingHarness(t, refuseRoom, answerWith(http.StatusOK, ""))
			if c.setUp != nil {
				c.setUp(h)
			}
			e := h.forwarder.Explain(c.query)
			require.Equal(t, c.want, expectation{e.Outcome, e.Reason, e.Status})
		})
	}
}

// firstKeyPriority is the priority of the account of firstKey.
const firstKeyPriority = 1

// queueOne returns a function that adds a request with the priority to the queue.
func queueOne(priority int) func(*harness) {
	return func(h *harness) {
		h.forwarder.Queue.Join(waitqueue.Request{Service: "desk", Priority: priority, Arrived: time.Now()}, time.Now())
	}
}

// Guards against an explanation that omits why an engine gets no request, or until when a
// request may wait.
func TestExplanationNamesCauses(t *testing.T) {
	upstreams := make([]http.HandlerFunc, 4)
	for i := range upstreams {
		upstreams[i] = answerWith(http.StatusOK, "")
	}
	h, _ := newCompetingHarness(t, grant, upstreams...)
	h.forwarder.Pauses.Record("u-2", 1, time.Minute, time.Now())
	h.directory.MarkLeaving("u-3", 1, time.Now())
	h.directory.SetEvacuated("dc-4", true)
	h.directory.ObserveReport("u-1", directory.Report{
		Incarnation: 1, Running: 3, Waiting: 1, MemoryUsed: 5_000, MemoryTotal: 26_864, EventTime: 20 * time.Millisecond,
	}, time.Now())
	e := h.forwarder.Explain(draftQuery)
	require.Equal(t, []any{int64(1), "draft", "streaming", "desk", "bakery", true, 2, 5, true},
		[]any{e.TableVersion, e.Route, e.Kind, e.Service, e.Account, e.PolicyEnabled, *e.Priority, *e.Rank, e.CanWait})
	require.Equal(t, waitTarget-900*time.Millisecond, e.SendBy.Sub(e.Time), "600 ms for the prompt and 300 to send it")
	require.Equal(t, explanation.Reservation{Engines: 3, Headroom: 0.12}, *e.Reservation)
	require.Len(t, e.Engines, 1)
	n := e.Engines[0]
	require.Equal(t, []any{"u-1", 3, 1, 5_000, 20.0, true, true}, []any{n.ID, n.Running, n.Waiting, n.MemoryUsed, n.EventTime, n.IsAsked, n.HasRoom})
	p := n.Parts
	require.InDelta(t, n.Score, p.Load+p.MemoryPressure+p.Remote+p.Suspect+p.Failures+p.Cold+p.Pace, 1e-9)
	reasons := make(map[string]explanation.ExclusionReason)
	for _, x := range e.Excluded {
		reasons[x.ID] = x.Reason
	}
	require.Equal(t, map[string]explanation.ExclusionReason{
		"u-2": explanation.Paused, "u-3": explanation.Leaving, "u-4": explanation.DataCentreOut,
	}, reasons)
}

// Guards against an explanation that takes the token of a cold upstream, and against one
// that names no cause once a request has taken it.
func TestExplanationOfColdUpstream(t *testing.T) {
	h, _ := newCompetingHarness(t, grant)
	d := directory.New(eventlog.Discard(), func(string, string) (float64, bool) { return 0.001, true })
	d.Upsert(directory.Entry{
		ID: "u-1", Service: "desk", Address: "127.0.0.1:1", DataCentre: "dc-1", ConcurrencyLimit: 24, Incarnation: 1, ColdDuration: time.Hour,
	}, time.Now())
	h.forwarder.Directory = d
	for range 5 {
		e := h.forwarder.Explain(draftQuery)
		require.Empty(t, e.Excluded)
		require.Greater(t, e.Engines[0].Parts.Cold, 0.0)
	}
	require.True(t, d.Admit("u-1", time.Now()), "the only token is still there")
	e := h.forwarder.Explain(draftQuery)
	require.Equal(t, []explanation.Exclusion{{ID: "u-1", DataCentre: "dc-1", Reason: explanation.RateUsedUp}}, e.Excluded)
	require.Equal(t, "no_upstream", e.Reason)
}

// Guards against an answer that grows with the number of engines.
func TestExplanationIsBounded(t *testing.T) {
	h, _ := newCompetingHarness(t, grant)
	for i := range 70 {
		h.addUpstream(i, "127.0.0.1:"+strconv.Itoa(i+1))
		if i >= 40 {
			h.directory.MarkLeaving(fmt.Sprintf("u-%d", i+1), 1, time.Now())
		}
	}
	e := h.forwarder.Explain(draftQuery)
	require.Equal(t, []int{20, 20, 20, 10}, []int{len(e.Engines), e.EnginesOmitted, len(e.Excluded), e.ExcludedOmitted})
	asked := 0
	for i, n := range e.Engines {
		if n.IsAsked {
			asked++
		}
		require.Equal(t, i > 0 && n.Score < e.Engines[0].Score+e.TieMargin, n.IsTied)
	}
	require.Equal(t, 3, asked)
}

// Guards against an explanation that assumes the search for room of another kind of
// service: long outputs at uneven engines ask more engines, and only those with room.
func TestExplanationOfUnevenEngines(t *testing.T) {
	h, _ := newCompetingHarness(t, grant)
	r := testRoutes()[2]
	r.MaxEventGap = 180 * time.Millisecond
	h.table = routetable.New(routetable.TableContent{
		Version: 2, Routes: []route.Route{r}, Services: []routetable.Service{{Name: "desk", Engine: &routetable.Engine{MemoryTokens: 26_864}}},
	})
	for i := range 8 {
		h.addUpstream(i, "127.0.0.1:"+strconv.Itoa(i+1))
		h.directory.ObserveReport(fmt.Sprintf("u-%d", i+1), directory.Report{
			Incarnation: 1, MemoryUsed: 26_800 * (i % 2), MemoryTotal: 26_864, EventTime: time.Duration(10+10*i) * time.Millisecond,
		}, time.Now())
	}
	e := h.forwarder.Explain(draftQuery)
	require.False(t, e.PolicyEnabled)
	require.Equal(t, explanation.Reservation{Engines: 6}, *e.Reservation)
	for _, n := range e.Engines {
		require.Equal(t, n.HasRoom, n.IsAsked, n.ID)
	}
	q := draftQuery
	q.OutputTokens = 2
	require.Nil(t, h.forwarder.Explain(q).Reservation)
}
