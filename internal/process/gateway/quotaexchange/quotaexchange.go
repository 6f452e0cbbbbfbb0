package quotaexchange

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quota"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quotahome"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// callTimeout bounds one call. It is well below the duration of a lease, so
	// that the report after a lost call arrives before the lease expires.
	callTimeout = 500 * time.Millisecond
	// maxCalls is the maximum number of concurrent calls.
	maxCalls = 8
	// refusalSpacing is the minimum time between two reports triggered by
	// refusals.
	refusalSpacing = 100 * time.Millisecond
	// maxBodyBytes bounds the body of a report or of a response.
	maxBodyBytes = 1 << 20
)

// Exchange reports one gateway's demand to the home gateways and handles the
// reports of other gateways. It is safe for concurrent use.
type Exchange struct {
	// self is the peer address of this gateway.
	self    string
	secret  string
	limiter *quota.Limiter
	home    *quotahome.Home
	client  *http.Client
	log     *eventlog.Log
	// failing is true if the latest call failed.
	failing atomic.Bool
	// gateways holds the sorted peer addresses of all gateways, including self.
	gateways atomic.Pointer[[]string]
	version  atomic.Uint64
	// interval is the time between two reports.
	interval    time.Duration
	callsSent   atomic.Uint64
	callsFailed atomic.Uint64
}

// New returns an exchange for the gateway with the peer address. The secret
// authenticates its calls.
func New(self, secret string, limiter *quota.Limiter, client *http.Client, log *eventlog.Log, now time.Time) *Exchange {
	e := &Exchange{
		self:     self,
		secret:   secret,
		limiter:  limiter,
		home:     quotahome.New(1, now),
		client:   client,
		log:      log,
		interval: demand.ReportInterval,
	}
	e.SetGateways(nil)
	return e
}

// SetGateways replaces the peer addresses of the gateways, in any order. The
// address of this gateway is added if it is missing. All gateways must write an
// address in the same form.
func (e *Exchange) SetGateways(addresses []string) {
	sorted := append(slices.Clone(addresses), e.self)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	e.gateways.Store(&sorted)
	e.limiter.SetGateways(len(sorted))
	e.home.SetGateways(len(sorted))
}

// SetVersion sets the version of the active configuration, which reports carry.
func (e *Exchange) SetVersion(version uint64) { e.version.Store(version) }

// Home returns the peer address of the account's home gateway.
func (e *Exchange) Home(account string) string {
	gateways := *e.gateways.Load()
	hash := xxhash.Sum64String(account)
	best, highest := "", uint64(0)
	for _, g := range gateways {
		if score := mix(xxhash.Sum64String(g) ^ hash); best == "" || score > highest {
			best, highest = g, score
		}
	}
	return best
}

// Calls returns the number of calls to other gateways and how many of them
// failed.
func (e *Exchange) Calls() (callsSent, callsFailed uint64) {
	return e.callsSent.Load(), e.callsFailed.Load()
}

// Run reports demand at each interval and after refusals until the context is
// done.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(e.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.limiter.Refusals():
		}
		e.Report(ctx, time.Now())
		if !sleep(ctx, refusalSpacing) {
			return
		}
	}
}

// Report sends the demand to the home gateways and applies the shares that they
// grant. No shares are applied from a home gateway that cannot be reached.
func (e *Exchange) Report(ctx context.Context, now time.Time) {
	byHome := make(map[string][]demand.Account)
	for _, d := range e.limiter.Demand(e.version.Load(), now) {
		home := e.Home(d.Name)
		byHome[home] = append(byHome[home], d)
	}
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxCalls)
	for home, accounts := range byHome {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			e.reportTo(ctx, home, demand.Report{Gateway: e.self, Accounts: accounts}, now)
		})
	}
	group.Wait()
}

func (e *Exchange) reportTo(ctx context.Context, home string, report demand.Report, now time.Time) {
	if home == e.self {
		e.limiter.Apply(e.home.Divide(report, now).Accounts, now)
		return
	}
	e.callsSent.Add(1)
	shares, err := e.call(ctx, home, report)
	e.recordResult(home, err)
	e.limiter.Apply(shares.Accounts, now)
}

// recordResult counts a failed call. It logs when calls start to fail and when
// they succeed again.
func (e *Exchange) recordResult(home string, err error) {
	switch {
	case err == nil && e.failing.CompareAndSwap(true, false):
		e.log.Emit(eventlog.DemandExchanged).Str("peer", home).Send()
	case err != nil:
		e.callsFailed.Add(1)
		if e.failing.CompareAndSwap(false, true) {
			e.log.Emit(eventlog.DemandNotExchanged).Str("peer", home).Err(err).Send()
		}
	}
}

func (e *Exchange) call(ctx context.Context, home string, report demand.Report) (demand.Shares, error) {
	var shares demand.Shares
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(report)
	if err != nil {
		return shares, errors.Wrap(err, "encode demand")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+home+demand.Path, bytes.NewReader(body))
	if err != nil {
		return shares, errors.Wrapf(err, "report demand to %s", home)
	}
	request.Header.Set("Authorization", "Bearer "+e.secret)
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return shares, errors.Wrapf(err, "report demand to %s", home)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return shares, errors.Newf("report demand to %s: status %d", home, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&shares); err != nil {
		return demand.Shares{}, errors.Wrapf(err, "read shares of %s", home)
	}
	return shares, nil
}

// ServeHTTP responds to the report of another gateway with its shares. The
// caller must have checked the bearer secret.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report demand.Report
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&report); err != nil || report.Gateway == "" {
		rejected := problem.Rejected("demand_malformed", http.StatusBadRequest, "the body is no demand report")
		_ = rejected.WithLocation("read demand", r.RemoteAddr).Write(w)
		return
	}
	body, err := json.Marshal(e.home.Divide(report, time.Now()))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// sleep waits for the duration and returns false if the context is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// mix distributes the bits of a number evenly (finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
