package quotaexchange

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quota"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

type gateway struct {
	limiter  *quota.Limiter
	exchange *Exchange
	server   *httptest.Server
}

// startGateways starts n gateways that already grant leases as homes.
func startGateways(t *testing.T, n int) []*gateway {
	var gateways []*gateway
	var addresses []string
	for range n {
		g := &gateway{limiter: quota.New(n)}
		g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			g.exchange.ServeHTTP(w, r)
		}))
		t.Cleanup(g.server.Close)
		address := strings.TrimPrefix(g.server.URL, "http://")
		startedAt := time.Now().Add(-demand.LeaseDuration)
		g.exchange = New(address, "secret", g.limiter, g.server.Client(), eventlog.Discard(), startedAt)
		addresses = append(addresses, address)
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		g.exchange.SetGateways(addresses)
	}
	return gateways
}

func homeOf(gateways []*gateway, account string) (home, other *gateway) {
	for _, g := range gateways {
		if g.exchange.Home(account) == g.exchange.self {
			home = g
		} else {
			other = g
		}
	}
	return home, other
}

// Guards against a share that is not received over HTTP, and against a gateway
// that keeps an expired share or accepts nothing when the home gateway is lost.
func TestShareIsReceivedAndExpiresWithoutHome(t *testing.T) {
	gateways := startGateways(t, 3)
	a := &account.Account{Name: "a", Concurrency: 9}
	home, other := homeOf(gateways, "a")
	now := time.Now()
	for range 4 {
		other.limiter.Acquire(a, now)
	}
	_, ok := other.limiter.Acquire(a, now)
	require.False(t, ok, "the equal share is 3")
	require.Eventually(t, func() bool {
		other.exchange.Report(t.Context(), now)
		_, ok := other.limiter.Acquire(a, now)
		return ok
	}, 20*time.Second, time.Millisecond)

	home.server.Close()
	later := now.Add(demand.LeaseDuration)
	_, before := other.exchange.Calls()
	other.exchange.Report(t.Context(), later)
	_, after := other.exchange.Calls()
	require.Equal(t, before+1, after)
	_, ok = other.limiter.Acquire(a, later)
	require.False(t, ok)
	other.limiter.Release("a", later)
	other.limiter.Release("a", later)
	_, ok = other.limiter.Acquire(a, later)
	require.True(t, ok, "the equal share must be usable without the home gateway")
}

// Guards against demand that is reported only at the next interval after a
// refusal, and against a loop that does not end with its context.
func TestRunReportsRefusalsImmediately(t *testing.T) {
	gateways := startGateways(t, 2)
	a := &account.Account{Name: "a", Concurrency: 10}
	_, other := homeOf(gateways, "a")
	other.exchange.interval = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		other.exchange.Run(ctx)
		close(done)
	}()
	accepted := 0
	require.Eventually(t, func() bool {
		if _, ok := other.limiter.Acquire(a, time.Now()); ok {
			accepted++
		}
		return accepted > 5
	}, 20*time.Second, time.Millisecond, "the equal share is 5")
	cancel()
	<-done
}

// Guards against gateways that disagree about an account's home gateway, and
// against home gateways that change when an unrelated gateway is removed.
func TestHomesAgreeAndAreStable(t *testing.T) {
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	limiter := quota.New(1)
	a := New(addresses[0], "s", limiter, http.DefaultClient, eventlog.Discard(), time.Now())
	b := New(addresses[1], "s", limiter, http.DefaultClient, eventlog.Discard(), time.Now())
	a.SetGateways(addresses)
	b.SetGateways([]string{addresses[3], addresses[2], addresses[0]})
	smaller := New(addresses[0], "s", limiter, http.DefaultClient, eventlog.Discard(), time.Now())
	smaller.SetGateways(addresses[:3])
	counts := map[string]int{}
	for i := range 1000 {
		name := fmt.Sprint("account-", i)
		home := a.Home(name)
		require.Equal(t, home, b.Home(name))
		counts[home]++
		if home != addresses[3] {
			require.Equal(t, home, smaller.Home(name))
		}
	}
	for _, address := range addresses {
		require.Greater(t, counts[address], 150)
	}
}

// Guards against a crash on a malformed report, and against a share in response
// to it.
func TestMalformedReportIsRejected(t *testing.T) {
	e := New("x", "s", quota.New(1), http.DefaultClient, eventlog.Discard(), time.Now())
	for _, body := range []string{"", "{", "[]", `{"accounts":[]}`} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, demand.Path, strings.NewReader(body)))
		require.Equal(t, http.StatusBadRequest, w.Code)
	}
}

func BenchmarkHome(b *testing.B) {
	for _, n := range []int{3, 370} {
		b.Run(fmt.Sprintf("gateways=%d", n), func(b *testing.B) {
			var addresses []string
			for i := range n {
				addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256))
			}
			e := New(addresses[0], "s", quota.New(n), http.DefaultClient, eventlog.Discard(), time.Now())
			e.SetGateways(addresses)
			b.ReportAllocs()
			for b.Loop() {
				e.Home("account-12345")
			}
		})
	}
}
