package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/version/route"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func stream(priority int, target time.Duration) route.Route {
	return route.Route{
		Kind: route.Streaming, Priority: priority, LatencyTarget: target, Shares: []route.Share{{Service: "lm", Weight: 1}},
	}
}

func table(routes ...route.Route) *routetable.Table {
	return routetable.New(routetable.TableContent{Routes: routes, Services: []routetable.Service{
		{Name: "lm", Engine: &routetable.Engine{MemoryTokens: 26_864}}, {Name: "plain"},
	}})
}

// decide returns the decision on a request of the route at the index, with 60 s left.
func decide(t *routetable.Table, index int, account *int, prompt int) Decision {
	return New(t).Decide(Request{
		Route: &t.Routes()[index], Service: t.Service(t.Routes()[index].Shares[0].Service), AccountPriority: account,
		PromptTokens: prompt, Received: start, Deadline: start.Add(time.Minute),
	})
}

// Guards against a policy for deployments that have no use for it: ranks make an engine
// preempt running generations, and requests would wait without a more urgent one.
func TestPolicyIsEnabledOnlyWhereRequestsCanWait(t *testing.T) {
	ms := time.Millisecond
	elsewhere := stream(2, 4000*ms)
	elsewhere.Shares = []route.Share{{Service: "lm", Weight: 0}, {Service: "plain", Weight: 1}}
	order := stream(2, 4000*ms)
	order.Kind = route.NonIdempotent
	for _, c := range []struct {
		name    string
		routes  []route.Route
		enabled bool
		canWait []bool
	}{
		{"long targets are less urgent", []route.Route{stream(2, 4000*ms), stream(0, 1500*ms)}, true, []bool{true, false}},
		{"targets are too close", []route.Route{stream(1, 1800*ms), stream(0, 1500*ms)}, false, []bool{false, false}},
		{"same priority", []route.Route{stream(1, 4000*ms), stream(1, 1500*ms)}, false, []bool{false, false}},
		{"long targets are more urgent", []route.Route{stream(0, 4000*ms), stream(2, 1500*ms)}, false, []bool{false, false}},
		{"exactly the excess", []route.Route{stream(3, 2500*ms), stream(0, 1500*ms)}, true, []bool{true, false}},
		{"one route", []route.Route{stream(2, 4000*ms)}, false, []bool{false}},
		{"no target", []route.Route{stream(2, 0), stream(0, 1500*ms)}, false, []bool{false, false}},
		{"another service", []route.Route{elsewhere, stream(0, 1500*ms)}, false, []bool{false, false}},
		{"not a stream", []route.Route{order, stream(0, 1500*ms)}, false, []bool{false, false}},
		{"three kinds", []route.Route{stream(9, 9000*ms), stream(5, 2000*ms), stream(1, 1500*ms)}, true, []bool{true, false, false}},
		{"negative priorities are equal", []route.Route{stream(-1, 4000*ms), stream(-7, 1500*ms)}, false, []bool{false, false}},
		{"priorities above 9 are equal", []route.Route{stream(12, 4000*ms), stream(9, 1500*ms)}, false, []bool{false, false}},
		{"the shortest target of the most urgent", []route.Route{stream(0, 3900*ms), stream(2, 4000*ms), stream(0, 1500*ms)}, true, []bool{false, true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, canWait := range c.canWait {
				d := decide(table(c.routes...), i, nil, 3000)
				require.Equal(t, c.enabled, d.Enabled)
				require.Equal(t, canWait, d.CanWait, "route %d", i)
			}
		})
	}
}

// Guards against the priority of the route where the account has its own, and against
// ranks that engines do not know.
func TestPriorityIsTheAccountsAndWithinRange(t *testing.T) {
	routes := table(stream(2, 4*time.Second), stream(0, 1500*time.Millisecond))
	for _, c := range []struct {
		route, account, want int
		canWait, invalid     bool
	}{
		{0, 0, 0, false, false},
		{0, 1, 1, true, false},
		{0, 9, 9, true, false},
		{0, 10, 9, true, true},
		{0, -3, 0, false, true},
		{1, 5, 5, false, false},
	} {
		d := decide(routes, c.route, &c.account, 3000)
		require.Equal(t, c.want, d.Priority)
		require.Equal(t, c.canWait, d.CanWait, "account %d on route %d", c.account, c.route)
		require.Equal(t, c.invalid, d.InvalidPriority)
	}
}

// Guards against a wait that leaves no time for the prompt, against requests that are
// refused for a size that no engine can hold, and against ones without a size that
// reserve nothing.
func TestWaitEndsBeforeThePromptMustStart(t *testing.T) {
	routes := table(stream(2, 4*time.Second), stream(0, 1500*time.Millisecond))
	for tokens, sendBy := range map[int]time.Duration{7: 3699 * time.Millisecond, 2100: 3400 * time.Millisecond, 21_000: 700 * time.Millisecond} {
		require.Equal(t, start.Add(sendBy), decide(routes, 0, nil, tokens).SendBy)
	}
	unknown := decide(routes, 0, nil, 0)
	require.True(t, unknown.InvalidSize)
	require.Equal(t, 3223, unknown.PromptTokens, "a reservation without a size would always be granted")
	require.Equal(t, decide(routes, 0, nil, 3223).SendBy, unknown.SendBy)
	huge := decide(routes, 0, nil, 1<<40)
	require.True(t, huge.InvalidSize)
	require.False(t, huge.DeadlineTooShort)
	require.Equal(t, decide(routes, 0, nil, 26_864).SendBy, huge.SendBy)
}

// Guards against a request that waits until its deadline: where the memory of engines is
// not configured, the time of a prompt of any stated size is subtracted from the target,
// and an overflow would be added to it.
func TestWaitEndsBeforeTheTargetForAnySizeAndMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory, prompt := rapid.Int().Draw(t, "memory"), rapid.Int().Draw(t, "prompt")
		routes := routetable.New(routetable.TableContent{
			Routes:   []route.Route{stream(2, 4*time.Second), stream(0, 1500*time.Millisecond)},
			Services: []routetable.Service{{Name: "lm", Engine: &routetable.Engine{MemoryTokens: memory}}},
		})
		d := decide(routes, 0, nil, prompt)
		require.GreaterOrEqual(t, d.PromptTime, time.Duration(0))
		require.False(t, d.SendBy.After(d.Target))
	})
}

// Guards against a request that is sent although it cannot be answered, against one that
// is refused although it can, and against a wait beyond the caller's deadline.
func TestDeadlineMustLeaveTheTimeOfThePrompt(t *testing.T) {
	routes := table(stream(2, 4*time.Second), stream(0, 1500*time.Millisecond))
	for left, tooShort := range map[time.Duration]bool{299 * time.Millisecond: true, 300 * time.Millisecond: false, -time.Second: true} {
		d := New(routes).Decide(Request{
			Route: &routes.Routes()[0], Service: routes.Service("lm"), PromptTokens: 2100, Received: start, Deadline: start.Add(left),
		})
		require.Equal(t, tooShort, d.DeadlineTooShort, left)
		require.False(t, d.SendBy.After(start.Add(left)))
	}
	unknown := New(routes).Decide(Request{Route: &routes.Routes()[0], Service: routes.Service("lm"), Received: start, Deadline: start})
	require.False(t, unknown.DeadlineTooShort, "the size is only assumed")
}

// Guards against ranks by route or by account: engines would preempt running generations
// for each more urgent prompt. A late request must not preempt those that are in time.
func TestOnlyLateRequestsHaveAnotherRank(t *testing.T) {
	routes := table(stream(2, 4*time.Second), stream(0, 1500*time.Millisecond))
	rapid.Check(t, func(t *rapid.T) {
		priority := rapid.IntRange(-1, 10).Draw(t, "priority")
		index := rapid.IntRange(0, 1).Draw(t, "route")
		after := time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond
		want := defaultRank
		if after > routes.Routes()[index].LatencyTarget {
			want = lateRank
		}
		require.Equal(t, want, decide(routes, index, &priority, 3000).Rank(start.Add(after)))
		require.Equal(t, want, decide(routes, index, nil, 3000).Rank(start.Add(after)))
	})
}

func BenchmarkDecide(b *testing.B) {
	routes := table(stream(2, 4*time.Second), stream(0, 1500*time.Millisecond))
	policy := New(routes)
	r := Request{Route: &routes.Routes()[0], Service: routes.Service("lm"), PromptTokens: 3000, Received: start, Deadline: start.Add(time.Minute)}
	b.ReportAllocs()
	for b.Loop() {
		policy.Decide(r)
	}
}
