package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/orderkey"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const orderBody = `{"stand":"tall gold"}`

func respondWith(status int, body string) offerScript {
	return func(s *fakeStream, _ *attempt.Attempt) {
		s.send(frame.Frame{Kind: frame.KindHeartbeat}, responseFrame(status, body))
	}
}

func cutAfterHeartbeat(s *fakeStream, _ *attempt.Attempt) {
	s.send(frame.Frame{Kind: frame.KindHeartbeat})
	s.cut()
}

func hangAfterHeartbeat(s *fakeStream, _ *attempt.Attempt) {
	s.send(frame.Frame{Kind: frame.KindHeartbeat})
	s.hang()
}

func refuseWith(p problem.Problem) offerScript {
	return func(s *fakeStream, _ *attempt.Attempt) { _ = p.Write(s.w) }
}

func failWith(p problem.Problem) offerScript {
	return func(s *fakeStream, _ *attempt.Attempt) {
		s.send(frame.Frame{Kind: frame.KindHeartbeat}, failedFrame(p))
	}
}

// Guards the guarantees G5 and G6 of docs/design.md: the outcome reported to the
// caller matches the order's state at the sidecar, and an order that may have run
// is not offered to another instance.
func TestOrderOutcomes(t *testing.T) {
	stored := &attempt.Response{Status: http.StatusCreated, Header: http.Header{"Location": {"/1"}}, Body: []byte("stored")}
	minted := "fhk1.h1.inc.1"
	busy := problem.NotRun("queue_full", "full", time.Second)
	otherIncarnation := problem.Unknown("other_incarnation", "bound to another")
	withField := responseFrame(http.StatusCreated, "ok")
	withField.Header.Set("Content-Length ", "9")
	for name, test := range map[string]struct {
		key      string
		offer    offerScript
		statuses []attempt.Status
		status   int
		outcome  string
		// offers is the expected number of attempts at both instances. If it is
		// above 1, more attempts may follow, up to maxAttempts.
		offers int
	}{
		"answered":                          {minted, respondWith(http.StatusCreated, "ok"), nil, http.StatusCreated, "", 1},
		"answered with status 000":          {minted, respondWith(0, "ok"), nil, http.StatusBadGateway, problem.OutcomeIncomplete, 1},
		"answered with a malformed name":    {minted, func(s *fakeStream, _ *attempt.Attempt) { s.send(withField) }, nil, http.StatusBadGateway, problem.OutcomeIncomplete, 1},
		"cut while queued":                  {minted, cutAfterHeartbeat, []attempt.Status{{State: attempt.StateRevoked}}, http.StatusServiceUnavailable, problem.OutcomeNotRun, 1},
		"cut while running":                 {minted, cutAfterHeartbeat, []attempt.Status{{State: attempt.StateRunning}, {State: attempt.StateRunning}, {State: attempt.StateDone, Response: stored}}, http.StatusCreated, "", 1},
		"idle while running":                {minted, hangAfterHeartbeat, []attempt.Status{{State: attempt.StateRunning}, {State: attempt.StateDone, Response: stored}}, http.StatusCreated, "", 1},
		"cut, answer not kept":              {minted, cutAfterHeartbeat, []attempt.Status{{State: attempt.StateDone}}, http.StatusBadGateway, problem.OutcomeIncomplete, 1},
		"cut, sidecar replaced":             {minted, cutAfterHeartbeat, []attempt.Status{{State: attempt.StateUnknown}}, http.StatusBadGateway, problem.OutcomeUnknown, 1},
		"cut, upstream lost":                {minted, cutAfterHeartbeat, []attempt.Status{{State: attempt.StateLost}}, http.StatusBadGateway, problem.OutcomeUnknown, 1},
		"cut, then no answer":               {minted, cutAfterHeartbeat, nil, http.StatusBadGateway, problem.OutcomeUnknown, 1},
		"without key, cut, no answer":       {"", cutAfterHeartbeat, nil, http.StatusBadGateway, problem.OutcomeUnknown, 1},
		"without key, cut while running":    {"", cutAfterHeartbeat, []attempt.Status{{State: attempt.StateRunning}, {State: attempt.StateDone, Response: stored}}, http.StatusCreated, "", 1},
		"without key, refused":              {"", refuseWith(busy), nil, http.StatusServiceUnavailable, problem.OutcomeNotRun, 2},
		"without key, failed as not run":    {"", failWith(busy), nil, http.StatusServiceUnavailable, problem.OutcomeNotRun, 2},
		"without key, revoked":              {"", cutAfterHeartbeat, []attempt.Status{{State: attempt.StateRevoked}}, http.StatusServiceUnavailable, problem.OutcomeNotRun, 2},
		"without key, refused as unknown":   {"", refuseWith(otherIncarnation), nil, http.StatusBadGateway, problem.OutcomeUnknown, 1},
		"with key, refused":                 {minted, refuseWith(busy), nil, http.StatusServiceUnavailable, problem.OutcomeNotRun, 1},
		"with key, upstream failed":         {minted, failWith(problem.Unknown("upstream_failed", "reset")), nil, http.StatusBadGateway, problem.OutcomeUnknown, 1},
		"with opaque key, cut, no answer":   {"opaque", cutAfterHeartbeat, nil, http.StatusBadGateway, problem.OutcomeUnknown, 1},
		"with opaque key, answered":         {"opaque", respondWith(http.StatusCreated, "ok"), nil, http.StatusCreated, "", 1},
		"with opaque key, refused, unknown": {"opaque", refuseWith(problem.Unknown("quarantine", "may have run").WithOrderKey(minted)), nil, http.StatusBadGateway, problem.OutcomeUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h1, h2 := newFakeSidecar(t, "h1", "hire"), newFakeSidecar(t, "h2", "hire")
			for _, h := range []*fakeSidecar{h1, h2} {
				h.offers, h.statuses = []offerScript{test.offer}, test.statuses
			}
			var options []requestOption
			if test.key != "" {
				options = append(options, withHeader(orderKeyHeader, test.key))
			}
			o := newFixture(t, h1, h2).do(t, http.MethodPost, "/hire/bookings?x=1", orderBody, options...)
			require.Equal(t, test.status, o.status, o.body)
			require.Equal(t, test.outcome, o.problem.Outcome, o.body)
			require.Equal(t, test.outcome == problem.OutcomeNotRun, o.problem.Retryable)
			first, _, _, _ := h1.received()
			second, _, _, _ := h2.received()
			offers := len(first) + len(second)
			require.GreaterOrEqual(t, offers, test.offers)
			if test.offers == 1 {
				require.Equal(t, 1, offers)
			}
			require.LessOrEqual(t, offers, maxAttempts)
			for _, a := range append(first, second...) {
				require.Equal(t, "inc", a.Binding)
				require.False(t, a.Repeatable)
				require.Equal(t, test.key, a.OrderKey)
				require.Equal(t, test.key, a.Request.Header.Get(orderKeyHeader))
				require.Empty(t, a.Request.Header.Get("Authorization"))
				require.Equal(t, orderBody, string(a.Request.Body))
			}
			switch test.key {
			case minted:
				require.Empty(t, second)
			case "opaque":
				key, err := orderkey.Parse(test.key)
				require.NoError(t, err)
				require.Equal(t, key.Home([]string{"slot-h1", "slot-h2"}) == "slot-h1", len(first) == 1)
			}
		})
	}
}

// Guards G6: if the home instance of a key is unreachable, the outcome is
// unknown, because an earlier attempt may have run there, and the order is not
// offered to another instance.
func TestUnreachableHomeInstanceIsUnknownOutcome(t *testing.T) {
	h1, h2 := newFakeSidecar(t, "h1", "hire"), newFakeSidecar(t, "h2", "hire")
	h1.offers, h2.offers = []offerScript{respondWith(http.StatusOK, "")}, []offerScript{respondWith(http.StatusOK, "")}
	f := newFixture(t, h1, h2)
	opaque := "order-1"
	key, err := orderkey.Parse(opaque)
	require.NoError(t, err)
	home, other := h1, h2
	if key.Home([]string{"slot-h1", "slot-h2"}) == "slot-h2" {
		home, other = h2, h1
	}
	home.server.Close()
	for _, k := range []string{opaque, "fhk1." + home.instance.Name + ".inc.1", "fhk1.gone.inc.1"} {
		o := f.do(t, http.MethodPost, "/hire/bookings", orderBody, withHeader(orderKeyHeader, k))
		require.Equal(t, problem.OutcomeUnknown, o.problem.Outcome, k)
		require.False(t, o.problem.Retryable)
	}
	attempts, _, _, _ := other.received()
	require.Empty(t, attempts)
	o := f.do(t, http.MethodPost, "/hire/bookings", orderBody, withHeader(orderKeyHeader, "two words"))
	require.Equal(t, http.StatusBadRequest, o.status)

	// Without a key there is no earlier attempt, and this one never left the
	// gateway, so another instance may run it.
	for range 4 {
		o = f.do(t, http.MethodPost, "/hire/bookings", orderBody)
		require.Equal(t, http.StatusOK, o.status, o.body)
	}
}

// Guards against an unknown outcome where every upstream deduplicates the key,
// and against a second attempt of an order without a key.
func TestOrderIsRetriedAtDeduplicatingUpstreams(t *testing.T) {
	s1, s2 := newFakeSidecar(t, "s1", "store"), newFakeSidecar(t, "s2", "store")
	s1.offers, s2.offers = []offerScript{cutAfterHeartbeat}, []offerScript{respondWith(http.StatusCreated, "ok")}
	f := newFixture(t, s1, s2)
	for range 4 {
		o := f.do(t, http.MethodPost, "/store/orders", orderBody, withHeader(orderKeyHeader, "k"))
		require.Equal(t, http.StatusCreated, o.status, o.body)
	}
	s2.server.Close()
	o := f.do(t, http.MethodPost, "/store/orders", orderBody)
	require.Equal(t, problem.OutcomeUnknown, o.problem.Outcome)
}

// Guards G5: a request that may have run in one attempt and is refused in a later
// one is not reported as not run.
func TestRefusalAfterLostAttemptIsNotReportedAsNotRun(t *testing.T) {
	h, e := newFakeSidecar(t, "h1", "hire"), newFakeSidecar(t, "e1", "pool")
	full := refuseWith(problem.NotRun("queue_full", "full", time.Second))
	h.offers = []offerScript{cutAfterHeartbeat, full}
	e.offers = []offerScript{cutAfterHeartbeat, full}
	f := newFixture(t, h, e)
	for _, o := range []outcome{
		f.do(t, http.MethodGet, "/hire/stock", ""),
		f.do(t, http.MethodPost, completionsPath, unstreamedBody),
	} {
		require.Equal(t, problem.OutcomeIncomplete, o.problem.Outcome, o.body)
		require.False(t, o.problem.Retryable)
	}
}

// Guards against a repeatable call that fails because its first instance failed,
// and against forwarded hop-by-hop headers.
func TestRepeatableCallIsRetriedAtOtherInstance(t *testing.T) {
	h1, h2 := newFakeSidecar(t, "h1", "hire"), newFakeSidecar(t, "h2", "hire")
	h1.offers = []offerScript{cutAfterHeartbeat}
	h2.offers = []offerScript{func(s *fakeStream, _ *attempt.Attempt) {
		r := responseFrame(http.StatusTeapot, "kettle")
		r.Header = http.Header{"X-Stock": {"3"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"}}
		s.send(r)
	}}
	f := newFixture(t, h1, h2)
	for range 6 {
		o := f.do(t, http.MethodGet, "/hire/stock%2Fgold?x=1", "", withHeader("Connection", "X-Secret"), withHeader("X-Secret", "1"), withHeader("Te", "trailers"))
		require.Equal(t, http.StatusTeapot, o.status, o.body)
		require.Equal(t, "kettle", o.body)
		require.Equal(t, "3", o.header.Get("X-Stock"))
		require.Empty(t, o.header.Get("X-Hop"))
	}
	attempts, _, _, _ := h2.received()
	request := attempts[0].Request
	require.Equal(t, "/hire/stock%2Fgold", request.Path)
	require.Equal(t, "x=1", request.Query)
	require.Empty(t, request.Header.Get("X-Secret"))
	require.Empty(t, request.Header.Get("Te"))
	require.NotEmpty(t, request.Header.Get(requestIDHeader))
}
