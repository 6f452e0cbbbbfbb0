package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/connection/exchange"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/mirror"
	"github.com/flamingohold/flamingohold/internal/process/pause"
)

const (
	// path is the path of the exchange on the peer address.
	path = "/v1/peers/exchange"
	// interval is the time between two exchanges with peers at random,
	// eagerInterval that while no router has heard from the store lately.
	interval      = time.Second
	eagerInterval = 150 * time.Millisecond
	// feedWait is how long a reader holds an exchange until something changes.
	feedWait = 500 * time.Millisecond
	// callTimeout bounds an exchange, beside the time that it is held.
	callTimeout = 500 * time.Millisecond
	// feedRetry is the pause after a reader did not answer.
	feedRetry = 100 * time.Millisecond
	// lostAfter is how long after its last sign of life a peer counts as gone.
	lostAfter = 8 * time.Second
	// seedShare is the share of exchanges with a seed, by which parts of the
	// fleet that have lost each other meet again.
	seedShare = 0.2
	// readers is the number of routers that ask the store for all.
	readers = 2
	// contactLost is the age of the store's last answer, to this router or to one
	// whose items it has, above which the store counts as lost.
	contactLost = 1100 * time.Millisecond
	// maxMessageBytes bounds a message.
	maxMessageBytes = 32 << 20
)

// Peers is the view that one router has of the others. It is safe for concurrent
// use.
type Peers struct {
	self   string
	mirror *mirror.Mirror
	pool   *exchange.Pool
	log    *eventlog.Log
	clock  func() time.Time

	mu    sync.Mutex
	seeds []string
	// heard holds when each peer last showed that it lives.
	heard map[string]time.Time
	// ends holds when each stopping peer ends.
	ends map[string]time.Time
	// ownEnd is when this router ends, zero if it does not stop.
	ownEnd time.Time
	// contact is when the store last answered a router whose items this one has.
	contact time.Time
}

// New returns a view that knows the seeds only. The address is this router's
// own.
func New(self string, seeds []string, m *mirror.Mirror, pool *exchange.Pool, log *eventlog.Log, clock func() time.Time) *Peers {
	return &Peers{self: self, seeds: seeds, mirror: m, pool: pool, log: log, clock: clock, heard: make(map[string]time.Time), ends: make(map[string]time.Time)}
}

// SetSeeds replaces the seeds.
func (p *Peers) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// otherSeeds returns the seeds but for this router.
func (p *Peers) otherSeeds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	others := make([]string, 0, len(p.seeds))
	for _, s := range p.seeds {
		if s != p.self {
			others = append(others, s)
		}
	}
	return others
}

// Count returns the number of routers that live, this one included.
func (p *Peers) Count() int { return len(p.living()) + 1 }

// Run exchanges with the others until the context ends.
func (p *Peers) Run(ctx context.Context) {
	var feeding sync.WaitGroup
	feeding.Go(func() { p.feed(ctx) })
	defer feeding.Wait()
	for ctx.Err() == nil {
		if address := p.choose(); address != "" {
			p.exchange(ctx, address, 0)
		}
		p.forget()
		pause.For(ctx, p.interval())
	}
}

func (p *Peers) interval() time.Duration {
	if p.storeLost() {
		return eagerInterval
	}
	return interval
}

// feed follows the readers in turn until the context ends.
func (p *Peers) feed(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		chosen := p.readers()
		if slices.Contains(chosen, p.self) {
			pause.For(ctx, feedWait)
			continue
		}
		if !p.exchange(ctx, chosen[turn%len(chosen)], feedWait) {
			pause.For(ctx, feedRetry)
		}
	}
}

// readers returns the routers that ask the store for all: the same ones in each
// router's view, as far as the views agree. It is never empty.
func (p *Peers) readers() []string {
	candidates := append(p.living(), p.self)
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return candidates[:min(readers, len(candidates))]
}

// MustQueryStore reports whether this router has to ask the store itself: it is a
// reader, or no reader has heard from the store lately.
func (p *Peers) MustQueryStore() bool {
	return slices.Contains(p.readers(), p.self) || p.storeLost()
}

// storeLost reports whether neither this router nor one that it has its items
// from has heard from the store lately.
func (p *Peers) storeLost() bool {
	age := p.contactAge()
	return age < 0 || age > contactLost
}

// contactAge returns the age of the store's last answer, negative for never.
func (p *Peers) contactAge() time.Duration {
	own := p.mirror.LastContact()
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := own
	if p.contact.After(latest) {
		latest = p.contact
	}
	if latest.IsZero() {
		return -1
	}
	return p.clock().Sub(latest)
}

// choose returns the peer for the next exchange, empty for none.
func (p *Peers) choose() string {
	candidates := p.living()
	if len(candidates) == 0 || rand.Float64() < seedShare {
		candidates = p.otherSeeds()
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

func (p *Peers) living() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	living := make([]string, 0, len(p.heard))
	for address, at := range p.heard {
		if now.Sub(at) <= lostAfter {
			living = append(living, address)
		}
	}
	return living
}

func (p *Peers) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for address, at := range p.heard {
		if now.Sub(at) > lostAfter {
			delete(p.heard, address)
			delete(p.ends, address)
			p.log.Emit(eventlog.PeerLost).Str("peer", address).Dur("silent", now.Sub(at)).Send()
		}
	}
}

// hear records a sign of life of the peer.
func (p *Peers) hear(address string) {
	if address == "" || address == p.self {
		return
	}
	p.mu.Lock()
	_, known := p.heard[address]
	p.heard[address] = p.clock()
	p.mu.Unlock()
	if !known {
		p.log.Emit(eventlog.PeerFound).Str("peer", address).Send()
	}
}

// learn takes over peers that another one named. They count as living until
// they have been silent for the usual time.
func (p *Peers) learn(addresses []string) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		if _, known := p.heard[a]; !known && a != p.self && a != "" {
			p.heard[a] = now.Add(-lostAfter / 2)
		}
	}
}

// Path returns the path at which ServeHTTP is to be served.
func Path() string { return path }
