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

	"github.com/flamingohold/flamingohold/internal/process/demand"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/quota"
	"github.com/flamingohold/flamingohold/internal/process/quotahome"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// callTimeout bounds one call. It is far below the lease, so that a lost call
	// is repeated in time.
	callTimeout = 500 * time.Millisecond
	// maxCalls bounds the calls at the same time.
	maxCalls = 8
	// shortSpacing is the least time between two exchanges that refusals cause.
	shortSpacing = 100 * time.Millisecond
	maxBodyBytes = 1 << 20
)

// Exchange reports one gateway's demand and answers the reports of others. It
// is safe for concurrent use.
type Exchange struct {
	self    string
	secret  string
	limiter *quota.Limiter
	home    *quotahome.Home
	client  *http.Client
	log     *eventlog.Log
	// failing is true while the last call failed.
	failing atomic.Bool
	// gateways holds the sorted peer addresses of all gateways with self.
	gateways atomic.Pointer[[]string]
	version  atomic.Uint64
	// interval is the time between two reports.
	interval time.Duration
	sent     atomic.Uint64
	failed   atomic.Uint64
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
		interval: demand.Interval,
	}
	e.SetGateways(nil)
	return e
}

// SetGateways replaces the peer addresses of the gateways, in any order. The own
// address is added if it is missing. All gateways must write an address alike.
func (e *Exchange) SetGateways(addresses []string) {
	sorted := append(slices.Clone(addresses), e.self)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	e.gateways.Store(&sorted)
	e.limiter.SetGateways(len(sorted))
	e.home.SetGateways(len(sorted))
}

// SetVersion states the version of the configuration in force.
func (e *Exchange) SetVersion(version uint64) { e.version.Store(version) }

// Home returns the peer address of the account's home.
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
func (e *Exchange) Calls() (sent, failed uint64) { return e.sent.Load(), e.failed.Load() }

// Run reports demand until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(e.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.limiter.Short():
		}
		e.Report(ctx, time.Now())
		if !pause(ctx, shortSpacing) {
			return
		}
	}
}

// Report sends the demand to the homes and applies the shares that they grant.
// A home that can't be reached grants none.
func (e *Exchange) Report(ctx context.Context, now time.Time) {
	byHome := make(map[string][]demand.Account)
	for _, d := range e.limiter.Demand(e.version.Load(), now) {
		home := e.Home(d.Name)
		byHome[home] = append(byHome[home], d)
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for home, accounts := range byHome {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
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
	e.sent.Add(1)
	shares, err := e.call(ctx, home, report)
	e.record(home, err)
	e.limiter.Apply(shares.Accounts, now)
}

// record counts the result of a call and logs when calls begin or cease to
// fail.
func (e *Exchange) record(home string, err error) {
	switch {
	case err == nil && e.failing.CompareAndSwap(true, false):
		e.log.Emit(eventlog.DemandExchanged).Str("peer", home).Send()
	case err != nil:
		e.failed.Add(1)
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

// ServeHTTP answers the report of another gateway. The caller has checked the
// bearer secret.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report demand.Report
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&report); err != nil || report.Gateway == "" {
		rejected := problem.Rejected("demand_malformed", http.StatusBadRequest, "the body is no demand report")
		_ = rejected.WithAt("read demand", r.RemoteAddr).Write(w)
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

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
