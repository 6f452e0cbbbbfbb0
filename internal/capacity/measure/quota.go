package measure

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quota"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quotaexchange"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quotahome"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

const (
	// exchangeGateways is the number of gateways in the series over the number of
	// accounts, and exchangeAccounts the number of reported accounts in the series
	// over the number of gateways.
	exchangeGateways = 8
	exchangeAccounts = 64
)

func quotaDefinitions() []definition {
	accounts := []int{1000, 2000, 4000, 8000, 13_000}
	reporters := []int{3, 30, 60, 120, 370}
	exchanged := []int{8, 16, 32, 64, 128}
	gateways := []int{2, 4, 8, 12, 16}
	return []definition{
		{"quota_memory", "B", "account", accounts, quotaMemory},
		{"quota_acquire", "ns", "account", accounts, quotaAcquire},
		{"quota_demand", "ns", "account", accounts, quotaDemand},
		{"quota_home_memory", "B", "reporting gateway", reporters, quotaHomeMemory},
		{"quota_home_divide", "ns", "reporting gateway", reporters, quotaHomeDivide},
		{"quota_exchange_messages", "calls in an interval", "reported account", exchanged, func(n int) float64 {
			return measureExchange(exchangeGateways, n).calls
		}},
		{"quota_exchange_bytes", "B in an interval", "reported account", exchanged, func(n int) float64 {
			return measureExchange(exchangeGateways, n).bytes
		}},
		{"quota_exchange_messages_by_gateways", "calls in an interval", "gateway", gateways, func(n int) float64 {
			return measureExchange(n, exchangeAccounts).calls
		}},
		{"quota_exchange_bytes_by_gateways", "B in an interval", "gateway", gateways, func(n int) float64 {
			return measureExchange(n, exchangeAccounts).bytes
		}},
	}
}

func limitedAccount(i int) *account.Account {
	return &account.Account{Name: fmt.Sprintf("account-%05d", i), RequestsPerSecond: 2, Concurrency: 20}
}

// newLimiter returns the limiter of one of the gateways, at which each account has
// acquired quota for the given number of requests.
func newLimiter(accounts, gateways, requests int) *quota.Limiter {
	l := quota.New(gateways)
	for i := range accounts {
		for range requests {
			l.Acquire(limitedAccount(i), start)
		}
	}
	return l
}

func quotaMemory(n int) float64 { return heapBytes(nil, func() any { return newLimiter(n, 370, 1) }) }

func quotaAcquire(n int) float64 {
	l := newLimiter(n, 1, 1)
	all := make([]*account.Account, n)
	for i := range all {
		all[i] = limitedAccount(i)
	}
	calls, now := 0, start
	return nanoseconds(func() {
		a := all[calls%n]
		calls++
		now = now.Add(time.Millisecond)
		if _, ok := l.Acquire(a, now); ok {
			l.Release(a.Name, now)
		}
	})
}

// quotaDemand returns the time of a search for accounts to report, none of which
// needs a report.
func quotaDemand(n int) float64 {
	l := newLimiter(n, 1, 1)
	return nanoseconds(func() { l.Demand(1, start) })
}

func demandReport(gateway int) demand.Report {
	return demand.Report{Gateway: fmt.Sprintf("10.0.0.%d:9000", gateway), Accounts: []demand.Account{{
		Name: "account-00001", RateLimit: 100, ConcurrencyLimit: 100, Rate: 3, InUse: 2, Wanted: 3,
	}}}
}

// newHome returns a quota home to which each gateway has sent a report, and the
// time of the reports.
func newHome(gateways int) (*quotahome.Home, time.Time) {
	h := quotahome.New(gateways, start)
	now := start.Add(demand.LeaseDuration)
	for g := range gateways {
		h.Divide(demandReport(g), now)
	}
	return h, now
}

func quotaHomeMemory(n int) float64 {
	return heapBytes(nil, func() any {
		h, _ := newHome(n)
		return h
	})
}

func quotaHomeDivide(n int) float64 {
	h, now := newHome(n)
	r := demandReport(1)
	return nanoseconds(func() { h.Divide(r, now) })
}

// traffic holds the calls of one gateway in one interval and the bytes that it sent
// and received, without TCP and IP headers.
type traffic struct {
	calls float64
	bytes float64
}

// measureExchange returns the traffic of the first of the gateways when it reports
// the accounts over HTTP. It counts the second report, for which the connections
// are open already.
func measureExchange(gateways, accounts int) traffic {
	var bytes atomic.Int64
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2,
		DialContext:         countingDialer(&bytes),
	}}
	var addresses []string
	var all []*quotaexchange.Exchange
	var limiters []*quota.Limiter
	for range gateways {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		l := quota.New(gateways)
		e := quotaexchange.New(listener.Addr().String(), "0123456789abcdef0123456789abcdef", l, client, eventlog.Discard(), start)
		server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		addresses = append(addresses, listener.Addr().String())
		all = append(all, e)
		limiters = append(limiters, l)
	}
	for _, e := range all {
		e.SetGateways(addresses)
	}
	now := time.Now()
	for i := range accounts {
		for range 4 {
			limiters[0].Acquire(limitedAccount(i), now)
		}
	}
	all[0].Report(context.Background(), now)
	before, _ := all[0].Calls()
	bytes.Store(0)
	all[0].Report(context.Background(), now)
	after, _ := all[0].Calls()
	client.CloseIdleConnections()
	return traffic{calls: float64(after - before), bytes: float64(bytes.Load())}
}

// countingConnection counts the bytes of a connection in both directions.
type countingConnection struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingDialer returns a dial function whose connections add to bytes.
func countingDialer(bytes *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		connection, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConnection{connection, bytes}, nil
	}
}
