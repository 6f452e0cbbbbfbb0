package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/exchange"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/mirror"
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
	// restartTime is the time from the end of a stopping router until callers
	// reach it again.
	restartTime = 1500 * time.Millisecond
	// maxMessageBytes bounds a message.
	maxMessageBytes = 32 << 20
)

// message is what a router tells another one.
type message struct {
	// Address is the sender's peer address.
	Address string `json:"address"`
	// Revision is that of the sender's mirror.
	Revision int64 `json:"revision"`
	// Peers are the routers that the sender has heard of lately.
	Peers []string `json:"peers"`
	// WaitMillis is how long the receiver may wait until it has something newer.
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// ContactAgeMillis is the age of the store's last answer to the sender, or to
	// a router that the sender has its items from; negative for never.
	ContactAgeMillis int64 `json:"contact_age_ms"`
	// StopsInMillis is the time until the sender ends, 0 if it does not stop.
	StopsInMillis int64 `json:"stops_in_ms,omitempty"`
	// UnstableMillis is for how long yet deletions are to be taken as
	// unconfirmed, as the store was unstable.
	UnstableMillis int64 `json:"unstable_ms,omitempty"`
	// Batch holds what the receiver lacks; only answers have it.
	Batch *mirror.Batch `json:"batch,omitempty"`
}

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
		pause(ctx, p.interval())
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
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
			pause(ctx, feedWait)
			continue
		}
		if !p.exchange(ctx, chosen[turn%len(chosen)], feedWait) {
			pause(ctx, feedRetry)
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

// Stop tells all peers that this router ends at the given time.
func (p *Peers) Stop(ctx context.Context, end time.Time) {
	p.mu.Lock()
	p.ownEnd = end
	p.mu.Unlock()
	var told sync.WaitGroup
	for _, address := range p.living() {
		told.Go(func() { p.exchange(ctx, address, 0) })
	}
	told.Wait()
}

// Return returns when a router serves long requests again: at once if one of the
// others does not stop, otherwise some time after the first of them ends.
func (p *Peers) Return(now time.Time) time.Duration {
	living := p.living()
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.ownEnd
	for _, address := range living {
		end, stopping := p.ends[address]
		if !stopping || end.Before(now) {
			return 0
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return max(0, first.Sub(now)) + restartTime
}

// noteEnd takes over whether the peer stops.
func (p *Peers) noteEnd(m message) {
	if m.Address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.StopsInMillis <= 0 {
		delete(p.ends, m.Address)
		return
	}
	p.ends[m.Address] = p.clock().Add(time.Duration(m.StopsInMillis) * time.Millisecond)
}

// MustAskStore reports whether this router has to ask the store itself: it is a
// reader, or no reader has heard from the store lately.
func (p *Peers) MustAskStore() bool {
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
	own := p.mirror.Contact()
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

// exchange tells the peer what this router has and takes over what it lacks. It
// reports whether the peer answered.
func (p *Peers) exchange(ctx context.Context, address string, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	revision, _ := p.mirror.Revision()
	question := p.message(revision)
	question.WaitMillis = wait.Milliseconds()
	answer, err := p.call(ctx, address, question)
	if err != nil {
		// A peer that stays silent is forgotten, which is logged.
		return false
	}
	p.hear(address)
	p.learn(answer.Peers)
	p.noteEnd(answer)
	if answer.UnstableMillis > 0 {
		p.mirror.Unstable(p.clock().Add(time.Duration(answer.UnstableMillis) * time.Millisecond))
	}
	if answer.Batch != nil && answer.Batch.Revision > revision {
		p.mirror.Apply(*answer.Batch, p.clock())
	}
	p.noteContact(answer)
	return true
}

// noteContact takes over when the store answered the peer, if this router has
// all items that the peer has.
func (p *Peers) noteContact(m message) {
	if m.ContactAgeMillis < 0 {
		return
	}
	if revision, _ := p.mirror.Revision(); revision < m.Revision {
		return
	}
	contact := p.clock().Add(-time.Duration(m.ContactAgeMillis) * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if contact.After(p.contact) {
		p.contact = contact
	}
}

// message returns what this router tells others.
func (p *Peers) message(revision int64) message {
	age := p.contactAge()
	m := message{Address: p.self, Revision: revision, Peers: p.living(), ContactAgeMillis: age.Milliseconds()}
	if age < 0 {
		m.ContactAgeMillis = -1
	}
	p.mu.Lock()
	if !p.ownEnd.IsZero() {
		m.StopsInMillis = max(1, p.ownEnd.Sub(p.clock()).Milliseconds())
	}
	p.mu.Unlock()
	if unstable := p.mirror.UnstableUntil().Sub(p.clock()); unstable > 0 {
		m.UnstableMillis = unstable.Milliseconds()
	}
	return m
}

func (p *Peers) call(ctx context.Context, address string, m message) (message, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return message{}, errors.Wrap(err, "encode exchange")
	}
	answer, err := p.pool.Send(ctx, address, &exchange.Request{
		Method: http.MethodPost, Target: path, Host: address, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		return message{}, err
	}
	defer answer.Close()
	content, err := answer.Body(maxMessageBytes)
	if err != nil {
		return message{}, err
	}
	if answer.Status != http.StatusOK {
		return message{}, errors.Newf("peer %s answered %d", address, answer.Status)
	}
	var reply message
	return reply, errors.Wrapf(json.Unmarshal(content, &reply), "decode answer of peer %s", address)
}

// ServeHTTP answers the exchange of another router.
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m message
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&m); err != nil {
		http.Error(w, "the exchange cannot be decoded", http.StatusBadRequest)
		return
	}
	p.hear(m.Address)
	p.learn(m.Peers)
	p.noteEnd(m)
	p.await(r.Context(), m)
	batch := p.mirror.Since(m.Revision)
	reply := p.message(batch.Revision)
	if batch.Revision > m.Revision && p.mirror.Filled() {
		reply.Batch = &batch
	}
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, "the exchange cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// await waits until this router has something that the other one lacks, at most
// as long as the other one allows.
func (p *Peers) await(ctx context.Context, m message) {
	revision, changed := p.mirror.Revision()
	wait := min(time.Duration(m.WaitMillis)*time.Millisecond, feedWait)
	if wait <= 0 || revision > m.Revision {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// Path returns the path at which ServeHTTP is to be served.
func Path() string { return path }
