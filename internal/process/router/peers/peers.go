package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

const (
	// exchangePath is the path of the exchange on the peer address.
	exchangePath = "/v1/peers/exchange"
	// gossipInterval is the time between two exchanges with random peers.
	// fastGossipInterval applies instead while the store counts as lost or no other
	// router is known, and for recentPeriod after an engine has ended at a prompt or the
	// limit of an upstream has changed.
	gossipInterval     = time.Second
	fastGossipInterval = 150 * time.Millisecond
	recentPeriod       = 2 * time.Second
	// longPollWait is how long a reader holds an exchange without a change.
	longPollWait = 500 * time.Millisecond
	// longPollRetryDelay is the pause after a reader failed to send its items.
	longPollRetryDelay = 100 * time.Millisecond
	// peerTimeout is how long after the last contact a peer counts as lost.
	peerTimeout = 8 * time.Second
	// seedShare is the share of exchanges with a seed. They let partitions of the
	// fleet rejoin.
	seedShare = 0.2
	// readerCount is the number of routers that query the store on behalf of all.
	readerCount = 2
	// storeContactTimeout is the age of the store's last response above which the
	// store counts as lost. Responses to routers whose items this one has count
	// too.
	storeContactTimeout = 1100 * time.Millisecond
	// contactStep is the least difference between two answers of the store of which the
	// routers that wait here are told. What others estimate of the same answer differs by
	// less.
	contactStep = 200 * time.Millisecond
	// maxMessageBytes bounds a message.
	maxMessageBytes = 32 << 20
)

// exchangeLimits bound an exchange.
var exchangeLimits = upstreamclient.FetchLimits{
	Head: 500 * time.Millisecond, Stall: time.Second, Total: 10 * time.Second, MaxBytes: maxMessageBytes,
}

// Peers holds what one router knows about the others. It is safe for concurrent
// use.
type Peers struct {
	self string
	// linkMbps is the bandwidth of this router's link, 0 if unknown.
	linkMbps float64
	mirror   *mirror.Mirror
	prompts  *promptblock.List
	limits   *statedlimit.Limits
	drains   Drains
	fetcher  *upstreamclient.Fetcher
	log      *eventlog.Log
	clock    func() time.Time

	metrics  *metrics
	failures *failures
	// completing is held by the exchange that may receive large values completely.
	completing sync.Mutex
	// ahead receives the address of a peer whose message states a newer revision.
	ahead chan string
	// undecoded is true if the last items could not be decoded.
	undecoded atomic.Bool

	mu    sync.Mutex
	seeds []string
	// known holds the peers that count as alive or have just been lost, by address.
	known map[string]peer
	// heartbeat is this router's last heartbeat.
	heartbeat uint64
	// ownStopTime is when this router exits, zero if it is not stopping.
	ownStopTime time.Time
	// storeContact is when the store last answered another router whose items this
	// router has. contactChanged is closed and replaced once it is contactStep after
	// contactSignalled.
	storeContact     time.Time
	contactSignalled time.Time
	contactChanged   chan struct{}
}

// Options are the dependencies of a Peers.
type Options struct {
	// Address is this router's peer address.
	Address string
	// LinkMbps is the bandwidth of this router's link in megabits a second, 0 if
	// unknown.
	LinkMbps float64
	Seeds    []string
	Mirror   *mirror.Mirror
	// Prompts holds the evidence on prompts that all routers share.
	Prompts *promptblock.List
	// Limits holds the rate limits of upstreams that all routers share.
	Limits *statedlimit.Limits
	// Drains holds the notices of leaving upstreams, nil if there are none.
	Drains Drains
	Pool   *upstreamclient.Pool
	Log    *eventlog.Log
	Scope  tally.Scope
	Clock  func() time.Time
}

// New returns a Peers that knows only the seeds.
func New(o Options) *Peers {
	if o.Drains == nil {
		o.Drains = noDrains{}
	}
	return &Peers{
		self: o.Address, linkMbps: o.LinkMbps, seeds: o.Seeds, mirror: o.Mirror, prompts: o.Prompts, limits: o.Limits, drains: o.Drains,
		fetcher: upstreamclient.NewFetcher(o.Pool, exchangeLimits), log: o.Log, clock: o.Clock,
		metrics: newMetrics(o.Scope), failures: newFailures(o.Log), known: make(map[string]peer), ahead: make(chan string, 1),
		contactChanged: make(chan struct{}),
	}
}

// SetSeeds replaces the seeds.
func (p *Peers) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// otherSeeds returns the seeds other than this router.
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

// Count returns the number of routers that are alive, including this one.
func (p *Peers) Count() int { return len(p.alive()) + 1 }

// Run exchanges messages with the other routers until the context ends.
func (p *Peers) Run(ctx context.Context) {
	var followers sync.WaitGroup
	followers.Go(func() { p.followSources(ctx) })
	defer followers.Wait()
	for ctx.Err() == nil {
		if address := p.randomPeer(); address != "" {
			p.exchange(ctx, address, 0)
		}
		p.removeLost()
		p.awaitNext(ctx)
	}
}

// awaitNext waits until the next exchange with a random peer is due. Meanwhile it
// exchanges messages with peers that have newer items.
func (p *Peers) awaitNext(ctx context.Context) {
	next := time.NewTimer(p.interval())
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			return
		case address := <-p.ahead:
			p.exchange(ctx, address, 0)
			pause.For(ctx, fastGossipInterval)
		}
	}
}

func (p *Peers) interval() time.Duration {
	if p.storeLost() || len(p.alive()) == 0 || p.hasRecentChange(p.clock()) {
		return fastGossipInterval
	}
	return gossipInterval
}

// hasRecentChange reports whether this router has learned within recentPeriod what all
// routers must know.
func (p *Peers) hasRecentChange(now time.Time) bool {
	return p.prompts.HasRecentCrash(recentPeriod, now) || p.limits.ChangedWithin(recentPeriod, now)
}

// followSources long-polls this router's sources of items by turns until the context
// ends.
func (p *Peers) followSources(ctx context.Context) {
	failures := 0
	for round := 0; ctx.Err() == nil; round++ {
		source := p.source(round, failures)
		switch {
		case source == "":
			pause.For(ctx, longPollWait)
		case p.exchange(ctx, source, longPollWait):
			failures = 0
		default:
			failures++
			pause.For(ctx, longPollRetryDelay)
		}
	}
}

// MustQueryStore reports whether this router has to query the store itself,
// because it is a reader or because the store counts as lost.
func (p *Peers) MustQueryStore() bool {
	return slices.Contains(addresses(p.readers()), p.self) || p.storeLost()
}

// storeLost reports whether the store has answered neither this router nor a
// router whose items it has within storeContactTimeout.
func (p *Peers) storeLost() bool {
	age := p.contactAge()
	return age < 0 || age > storeContactTimeout
}

// contactAge returns the age of the store's last response, negative for never.
func (p *Peers) contactAge() time.Duration {
	own := p.mirror.LastContact()
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := own
	if p.storeContact.After(latest) {
		latest = p.storeContact
	}
	if latest.IsZero() {
		return -1
	}
	return p.clock().Sub(latest)
}

// randomPeer returns the peer for the next exchange, empty for none.
func (p *Peers) randomPeer() string {
	candidates := p.alive()
	if len(candidates) == 0 || rand.Float64() < seedShare {
		candidates = p.otherSeeds()
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

// IsResponsible reports whether this router acts for all on the matter with the
// name. Routers that know the same peers agree on one.
func (p *Peers) IsResponsible(name string) bool {
	rank, _ := p.Rank(name)
	return rank == 0
}

// Rank returns the position of this router in the order of Ranked, from 0, and the
// number of routers that are alive, this one included.
func (p *Peers) Rank(name string) (rank, routers int) {
	alive := p.alive()
	for _, address := range alive {
		if compareRanks(name, address, p.self) < 0 {
			rank++
		}
	}
	return rank, len(alive) + 1
}

// Ranked returns the addresses of the first n routers that are alive, this one
// included, in an order that depends on the name. Routers that know the same peers
// agree on it.
func (p *Peers) Ranked(name string, n int) []string {
	ranked := append(p.alive(), p.self)
	slices.SortFunc(ranked, func(a, b string) int { return compareRanks(name, a, b) })
	return ranked[:min(n, len(ranked))]
}

// compareRanks compares the positions of two routers in the order that depends on
// the name.
func compareRanks(name, a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(b+" "+name), xxhash.Sum64String(a+" "+name)), cmp.Compare(a, b))
}

// Path returns the URL path at which ServeHTTP must be served.
func Path() string { return exchangePath }
