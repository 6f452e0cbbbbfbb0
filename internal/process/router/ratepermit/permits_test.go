package ratepermit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

const (
	// window, factor and slack are the users' bound on the requests to an upstream
	// that states a limit.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	upstream = statedlimit.Upstream{ID: "u", Incarnation: 1}
)

// ranking is a fixed order of routers.
type ranking []string

func (r ranking) Ranked(_ string, n int) []string { return slices.Clone(r[:min(n, len(r))]) }

func newPermits(address string, peers Peers, clock func() time.Time) *Permits {
	return New(Options{
		Address: address, Peers: peers, Limits: statedlimit.New(func(statedlimit.Upstream) bool { return true }, func(statedlimit.Limit) {}),
		Pool: upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now),
		Log:  eventlog.Discard(), Scope: tally.NoopScope, Clock: clock,
	})
}

func state(p *Permits, perSecond float64, now time.Time) {
	p.limits.(*statedlimit.Limits).Observe(statedlimit.Statement{Upstream: upstream, Limited: true, PerSecond: perSecond, SentAt: now}, now)
}

// Guards against routers that each send within their own part and together pass the limit, however many they are.
func TestRequestsStayWithinTheStatedLimit(t *testing.T) {
	for _, routers := range []int{1, 2, 5, 28, 370} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				perSecond := rapid.Float64Range(0, 40).Draw(t, "per second")
				now := start
				issuers := []*Permits{newPermits("a", ranking{"a", "b"}, nil), newPermits("b", ranking{"a", "b"}, nil)}
				limit := statedlimit.Limit{Upstream: upstream, Limited: true, PerSecond: perSecond, Version: 1}
				var sent []time.Time
				backoffs := make([][2]time.Time, routers)
				for range 2000 {
					now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
					router, issuer := rapid.IntRange(0, routers-1).Draw(t, "router"), rapid.IntRange(0, min(routers, issuerCount)-1).Draw(t, "issuer")
					if backoffs[router][issuer].After(now) {
						continue
					}
					maxWait := time.Duration(rapid.SampledFrom([]int{0, 300}).Draw(t, "max wait")) * time.Millisecond
					d := issuers[issuer].issue(limit, maxWait, now)
					if d.Granted {
						late := time.Duration(rapid.IntRange(0, int(latePermitLifetime.Milliseconds())).Draw(t, "late")) * time.Millisecond
						sent = append(sent, now.Add(d.Wait).Add(late))
					} else {
						backoffs[router][issuer] = now.Add(d.RetryIn)
					}
				}
				slices.SortFunc(sent, time.Time.Compare)
				for i, first := range sent {
					last, _ := slices.BinarySearchFunc(sent, first.Add(window), time.Time.Compare)
					require.LessOrEqual(t, float64(last-i), factor*perSecond*window.Seconds()+slack)
				}
			})
		})
	}
}

// Guards against a part of the limit that lies unused because the router that holds it gets no requests.
func TestOneRouterCanUseTheWholeLimit(t *testing.T) {
	var elapsed atomic.Int64
	clock := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	b := newPermits("b", nil, clock)
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	a := newPermits("a", ranking{"a", strings.TrimPrefix(server.URL, "http://")}, clock)
	state(a, 10, clock())
	granted := 0
	for clock().Before(start.Add(10 * time.Second)) {
		if a.Acquire(t.Context(), upstream, 0).Granted {
			granted++
		}
		elapsed.Add(int64(20 * time.Millisecond))
	}
	require.InDelta(t, 100, granted, 12)
	require.True(t, b.limits.Limit(upstream).Limited, "the request tells the issuer the limit")
}

// Guards against a router that keeps a limit of which its issuer knows that it was lifted.
func TestIssuerTellsThatALimitWasLifted(t *testing.T) {
	var elapsed atomic.Int64
	clock := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	b := newPermits("b", nil, clock)
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	a := newPermits("a", ranking{strings.TrimPrefix(server.URL, "http://")}, clock)
	state(a, 1, clock())
	require.True(t, a.Acquire(t.Context(), upstream, 0).Granted)
	elapsed.Store(int64(5 * time.Second))
	b.limits.(*statedlimit.Limits).Observe(statedlimit.Statement{Upstream: upstream, SentAt: clock()}, clock())
	require.True(t, a.Acquire(t.Context(), upstream, 0).Granted)
	require.False(t, a.limits.Limit(upstream).Limited)
}

// Guards against a request that waits for each issuer that does not answer.
func TestSilentIssuerIsNotAskedAgainAtOnce(t *testing.T) {
	p := newPermits("a", ranking{"127.0.0.1:1"}, time.Now)
	state(p, 1, time.Now())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.False(t, p.Acquire(ctx, upstream, 0).Granted)
	begin := time.Now()
	d := p.Acquire(ctx, upstream, 0)
	require.False(t, d.Granted)
	require.Positive(t, d.RetryIn)
	require.Less(t, time.Since(begin), 100*time.Millisecond)
}

// Guards against an upstream whose limit is never lifted, because it gets no request
// while issuers answer later than requests wait: each permit is issued and not used.
func TestLatePermitIsUsedByALaterRequest(t *testing.T) {
	for _, passed := range []time.Duration{0, latePermitLifetime, latePermitLifetime + time.Millisecond} {
		var elapsed atomic.Int64
		clock := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
		issuer := newPermits("b", nil, clock)
		gaveUp := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-gaveUp
			issuer.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		p := newPermits("a", ranking{strings.TrimPrefix(server.URL, "http://")}, clock)
		// The real limits would end the request on a slow machine.
		p.fetcher = upstreamclient.NewFetcher(upstreamclient.New(upstreamclient.Options{DialTimeout: time.Minute}, time.Now), upstreamclient.FetchLimits{
			Head: time.Minute, Stall: time.Minute, Total: time.Minute, MaxBytes: maxMessageBytes,
		})
		state(p, 0.25, clock())
		require.False(t, p.Acquire(t.Context(), upstream, 0).Granted)
		close(gaveUp)
		require.Eventually(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.late) == 1
		}, time.Minute, time.Millisecond)
		elapsed.Store(int64(passed))
		require.Equal(t, passed <= latePermitLifetime, p.Acquire(t.Context(), upstream, 0).Granted)
		require.False(t, p.Acquire(t.Context(), upstream, 0).Granted, "one permit was issued")
	}
}

// Guards against an issuer that counts as silent because a caller left while its request waited for the answer.
func TestCallerThatLeavesSaysNothingOfTheIssuer(t *testing.T) {
	asked := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices the end of the connection only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		close(asked)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	var log bytes.Buffer
	p := newPermits("a", ranking{strings.TrimPrefix(server.URL, "http://")}, time.Now)
	p.log = eventlog.New(&log, zerolog.InfoLevel, "test")
	state(p, 1, time.Now())
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-asked
		leave()
	}()
	require.False(t, p.Acquire(ctx, upstream, 0).Granted)
	require.Empty(t, log.String())
	require.Empty(t, p.backoffs)
}
