package quotahome

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/process/demand"
)

const (
	shardCount = 16
	// memory is how long a gateway that stopped reporting counts.
	memory = 30 * time.Second
	// headroom is added to a demand, so that it can grow within its lease.
	headroom = 0.25
)

// Home divides the accounts of one home gateway. It is safe for concurrent use.
type Home struct {
	gateways atomic.Int64
	// open is when the first leases are granted.
	open   time.Time
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	byName map[string]*ledger
	swept  time.Time
}

// New returns a home among the number of gateways that has just started.
func New(gateways int, now time.Time) *Home {
	h := &Home{open: now.Add(demand.Lease)}
	h.SetGateways(gateways)
	for i := range h.shards {
		h.shards[i].byName = make(map[string]*ledger)
	}
	return h
}

// SetGateways replaces the number of gateways, at least 1.
func (h *Home) SetGateways(gateways int) { h.gateways.Store(int64(max(1, gateways))) }

// Divide records the demand of a gateway and returns its shares. It returns
// none during the first lease after the start.
func (h *Home) Divide(report demand.Report, now time.Time) demand.Shares {
	shares := demand.Shares{Accounts: make([]demand.Share, 0, len(report.Accounts))}
	gateways := int(h.gateways.Load())
	for _, d := range report.Accounts {
		s := &h.shards[xxhash.Sum64String(d.Name)%shardCount]
		share := s.divide(report.Gateway, d, gateways, now.Before(h.open), now)
		if !now.Before(h.open) {
			shares.Accounts = append(shares.Accounts, share)
		}
	}
	return shares
}

// Accounts returns the number of accounts with state.
func (h *Home) Accounts() int {
	n := 0
	for i := range h.shards {
		h.shards[i].mu.Lock()
		n += len(h.shards[i].byName)
		h.shards[i].mu.Unlock()
	}
	return n
}

func (s *shard) divide(gateway string, d demand.Account, gateways int, closed bool, now time.Time) demand.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	l := s.byName[d.Name]
	if l == nil {
		l = &ledger{reporters: make(map[string]*reporter)}
		s.byName[d.Name] = l
	}
	l.record(gateway, d, gateways, now)
	if closed {
		return demand.Share{}
	}
	return l.grant(gateway, now)
}

// sweep forgets accounts without reporters.
func (s *shard) sweep(now time.Time) {
	if now.Sub(s.swept) < memory {
		return
	}
	s.swept = now
	for name, l := range s.byName {
		l.forget(now)
		if len(l.reporters) == 0 {
			delete(s.byName, name)
		}
	}
}
