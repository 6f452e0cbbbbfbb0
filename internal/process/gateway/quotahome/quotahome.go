package quotahome

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/process/gateway/demand"
)

const (
	shardCount = 16
	// gatewayLifetime is how long a gateway that stopped reporting is taken into
	// account.
	gatewayLifetime = 30 * time.Second
	// headroom is the fraction added to a demand, so that it can grow during the
	// lease.
	headroom = 0.25
)

// Home divides the limits of the accounts of one home gateway. It is safe for
// concurrent use.
type Home struct {
	gateways atomic.Int64
	// grantsFrom is the time from which leases are granted.
	grantsFrom time.Time
	shards     [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*accountState
	sweptAt  time.Time
}

// New returns the Home of a gateway that has just started and is one of the
// given number of gateways.
func New(gateways int, now time.Time) *Home {
	h := &Home{grantsFrom: now.Add(demand.LeaseDuration)}
	h.SetGateways(gateways)
	for i := range h.shards {
		h.shards[i].accounts = make(map[string]*accountState)
	}
	return h
}

// SetGateways replaces the number of gateways, at least 1.
func (h *Home) SetGateways(gateways int) { h.gateways.Store(int64(max(1, gateways))) }

// Divide records the demand of a gateway and returns its shares. It returns no
// shares until the duration of a lease has passed since the start.
func (h *Home) Divide(report demand.Report, now time.Time) demand.Shares {
	shares := demand.Shares{Accounts: make([]demand.Share, 0, len(report.Accounts))}
	gateways := int(h.gateways.Load())
	for _, d := range report.Accounts {
		s := &h.shards[xxhash.Sum64String(d.Name)%shardCount]
		share := s.divide(report.Gateway, d, gateways, now.Before(h.grantsFrom), now)
		if !now.Before(h.grantsFrom) {
			shares.Accounts = append(shares.Accounts, share)
		}
	}
	return shares
}

// Accounts returns the number of accounts whose state is kept.
func (h *Home) Accounts() int {
	n := 0
	for i := range h.shards {
		h.shards[i].mu.Lock()
		n += len(h.shards[i].accounts)
		h.shards[i].mu.Unlock()
	}
	return n
}

func (s *shard) divide(gateway string, d demand.Account, gateways int, startingUp bool, now time.Time) demand.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	a := s.accounts[d.Name]
	if a == nil {
		a = &accountState{reported: make(map[string]*gatewayState)}
		s.accounts[d.Name] = a
	}
	a.record(gateway, d, gateways, now)
	if startingUp {
		return demand.Share{}
	}
	return a.grant(gateway, now)
}

// sweep removes the accounts for which no gateway has reported demand within
// gatewayLifetime.
func (s *shard) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < gatewayLifetime {
		return
	}
	s.sweptAt = now
	for name, a := range s.accounts {
		a.expireGateways(now)
		if len(a.reported) == 0 {
			delete(s.accounts, name)
		}
	}
}
