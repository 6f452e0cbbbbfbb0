package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

const shardCount = 16

// Limiter enforces this gateway's share of the account limits. It is safe for
// concurrent use.
type Limiter struct {
	gateways atomic.Int64
	shards   [shardCount]shard
	// refusals receives a value when a request was refused.
	refusals chan struct{}
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// New returns a limiter that uses an equal share among the given number of
// gateways for each account until it receives a share.
func New(gateways int) *Limiter {
	l := &Limiter{refusals: make(chan struct{}, 1)}
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]*bucket)
	}
	l.SetGateways(gateways)
	return l
}

// SetGateways replaces the number of gateways, at least 1.
func (l *Limiter) SetGateways(gateways int) { l.gateways.Store(int64(max(1, gateways))) }

// Acquire starts a request of the account. If it returns false, the request is
// refused, and retryAfter is the time after which a retry may succeed. Every
// successful Acquire must be followed by one Release.
func (l *Limiter) Acquire(a *account.Account, now time.Time) (retryAfter time.Duration, ok bool) {
	if a.RequestsPerSecond <= 0 && a.Concurrency <= 0 {
		return 0, true
	}
	gateways := int(l.gateways.Load())
	s := l.shard(a.Name)
	s.mu.Lock()
	retryAfter, ok = s.bucket(a, gateways, now).acquire(gateways, now)
	s.mu.Unlock()
	if !ok {
		l.signal()
	}
	return retryAfter, ok
}

// Release ends a request of the account.
func (l *Limiter) Release(name string, _ time.Time) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.buckets[name]; b != nil {
		b.inUse = max(0, b.inUse-1)
	}
}

// Refusals returns a channel that receives a value after requests were refused,
// so that the demand can be reported immediately.
func (l *Limiter) Refusals() <-chan struct{} { return l.refusals }

// Demand returns the demand of the accounts that need a report to their home
// gateway, with the given version of the configuration. It removes the state of
// unused accounts.
func (l *Limiter) Demand(version uint64, now time.Time) []demand.Account {
	var accounts []demand.Account
	gateways := int(l.gateways.Load())
	for i := range l.shards {
		accounts = l.shards[i].demand(accounts, version, gateways, now)
	}
	return accounts
}

// Apply sets the shares that a home gateway granted in response to the report
// that was sent at the given time. The leases start at that time.
func (l *Limiter) Apply(shares []demand.Share, sent time.Time) {
	for _, share := range shares {
		l.shard(share.Name).apply(share, sent.Add(demand.LeaseDuration))
	}
}

// Accounts returns the number of accounts whose state is kept.
func (l *Limiter) Accounts() int {
	n := 0
	for i := range l.shards {
		l.shards[i].mu.Lock()
		n += len(l.shards[i].buckets)
		l.shards[i].mu.Unlock()
	}
	return n
}

func (l *Limiter) signal() {
	select {
	case l.refusals <- struct{}{}:
	default:
	}
}

func (l *Limiter) shard(name string) *shard {
	return &l.shards[xxhash.Sum64String(name)%shardCount]
}

func (s *shard) bucket(a *account.Account, gateways int, now time.Time) *bucket {
	b := s.buckets[a.Name]
	if b == nil {
		b = newBucket(*a, gateways, now)
		s.buckets[a.Name] = b
	}
	b.limits = *a
	return b
}

func (s *shard) demand(accounts []demand.Account, version uint64, gateways int, now time.Time) []demand.Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range s.buckets {
		if d, ok := b.report(version, gateways, now); ok {
			accounts = append(accounts, d)
		}
		if b.idle(now) {
			delete(s.buckets, name)
		}
	}
	return accounts
}

func (s *shard) apply(share demand.Share, expiresAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[share.Name]
	if b == nil || expiresAt.Before(b.leaseUntil) {
		return
	}
	b.lease = share
	b.leaseUntil = expiresAt
}
