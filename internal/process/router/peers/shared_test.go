package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

func noLimits() *statedlimit.Limits {
	return statedlimit.New(func(statedlimit.Upstream) bool { return true }, func(statedlimit.Limit) {})
}

// Guards against sending evidence in each message to a router that keeps other crashes of too many.
func TestSameEvidenceIsNotSentInEachMessage(t *testing.T) {
	now := time.Now()
	p := newRouter(Options{Address: "self:1", Clock: func() time.Time { return now }})
	crash := func(n int) {
		p.prompts.RecordCrash(promptblock.Crash{Upstream: fmt.Sprint(n), Parts: []string{"part"}, At: now})
	}
	send := func(peers uint64) message {
		m := message{}
		p.addShared(&m, "a:1", digests{evidence: peers})
		p.recordSharedSent(m, "a:1", digests{evidence: peers})
		return m
	}
	p.recordContact("a:1", 1)
	crash(1)
	require.NotEmpty(t, send(7).Evidence)
	require.Empty(t, send(7).Evidence)
	now = now.Add(resendInterval)
	require.NotEmpty(t, send(7).Evidence, "a response may have been lost")
	require.NotEmpty(t, send(0).Evidence, "the router has started again")
	crash(2)
	last := send(0)
	require.NotEmpty(t, last.Evidence)
	require.Empty(t, send(last.EvidenceDigest).Evidence)
}

// sendShared sends a message with the shared state from one router to the other.
func sendShared(from, to *Peers) message {
	m := from.message(mirror.Position{})
	from.addShared(&m, to.self, from.peer(to.self).stated)
	from.recordSharedSent(m, to.self, from.peer(to.self).stated)
	to.recordSender(from.self, m)
	return m
}

// Guards against a router that learns an upstream's limit, or its end, only from its own requests.
func TestLimitsReachTheOtherRouters(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	a, b := newRouter(Options{Address: "a:1", Clock: clock}), newRouter(Options{Address: "b:1", Clock: clock})
	u := statedlimit.Upstream{ID: "u", Incarnation: 1}
	require.Empty(t, sendShared(a, b).Limits)
	require.Empty(t, sendShared(b, a).Limits)
	a.limits.Observe(statedlimit.Statement{Upstream: u, Limited: true, PerSecond: 4.1, SentAt: now}, now)
	require.True(t, a.hasRecentChange(now))
	sendShared(a, b)
	require.InDelta(t, 4.1, b.limits.Limit(u).PerSecond, 0)
	require.Empty(t, sendShared(b, a).Limits, "a has the same limits")
	require.Empty(t, sendShared(a, b).Limits, "b has the same limits")
	b.limits.Observe(statedlimit.Statement{Upstream: u, SentAt: now.Add(time.Second)}, now.Add(time.Second))
	now = now.Add(3 * time.Second)
	sendShared(b, a)
	require.False(t, a.limits.Limit(u).Limited)
}

// Guards against a router that learns only from its own requests that an upstream leaves.
func TestNoticesReachTheOtherRouters(t *testing.T) {
	now := time.Now()
	directories := map[string]*directory.Directory{}
	newListing := func(address string) *Peers {
		directories[address] = directory.New(eventlog.Discard(), func(string, string) (float64, bool) { return 0, false })
		directories[address].Upsert(directory.Entry{ID: "u", Service: "lm", Incarnation: 3}, now)
		return newRouter(Options{Address: address, Drains: directories[address], Clock: func() time.Time { return now }})
	}
	a, b := newListing("a:1"), newListing("b:1")
	sendShared(a, b)
	sendShared(b, a)
	directories["a:1"].MarkLeaving("u", 3, now)
	require.NotEmpty(t, sendShared(a, b).Notices)
	require.Empty(t, directories["b:1"].Service("lm", now))
	require.Empty(t, sendShared(b, a).Notices, "a has the same notices")
	require.Empty(t, sendShared(a, b).Notices, "b has the same notices")
}
