package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/exchange"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/mirror"
)

const (
	// path is the path of the exchange on the peer address.
	path = "/v1/peers/exchange"
	// interval is the time between two exchanges, eagerInterval that while the
	// store does not answer.
	interval      = 500 * time.Millisecond
	eagerInterval = 150 * time.Millisecond
	// callTimeout bounds one exchange.
	callTimeout = 800 * time.Millisecond
	// lostAfter is how long after its last sign of life a peer counts as gone.
	lostAfter = 8 * time.Second
	// seedShare is the share of exchanges with a seed, by which parts of the
	// fleet that have lost each other meet again.
	seedShare = 0.1
	// contactLost is the age of the store's last answer above which the store
	// counts as lost to this process.
	contactLost = 2500 * time.Millisecond
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
	// Batch holds what the receiver lacks; only answers have it.
	Batch *mirror.Batch `json:"batch,omitempty"`
}

// Peers is the view that one router has of the others. It is safe for concurrent
// use.
type Peers struct {
	self   string
	seeds  []string
	mirror *mirror.Mirror
	pool   *exchange.Pool
	log    *eventlog.Log
	clock  func() time.Time

	mu sync.Mutex
	// heard holds when each peer last showed that it lives.
	heard map[string]time.Time
}

// New returns a view that knows the seeds only. The address is this router's
// own.
func New(self string, seeds []string, m *mirror.Mirror, pool *exchange.Pool, log *eventlog.Log, clock func() time.Time) *Peers {
	return &Peers{self: self, seeds: seeds, mirror: m, pool: pool, log: log, clock: clock, heard: make(map[string]time.Time)}
}

// Count returns the number of routers that live, this one included.
func (p *Peers) Count() int { return len(p.living()) + 1 }

// Run exchanges with the others until the context ends.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := p.choose(); address != "" {
			p.exchange(ctx, address)
		}
		p.forget()
		timer := time.NewTimer(p.pause())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (p *Peers) pause() time.Duration {
	if p.clock().Sub(p.mirror.Contact()) > contactLost {
		return eagerInterval
	}
	return interval
}

// choose returns the peer for the next exchange, empty for none.
func (p *Peers) choose() string {
	living := p.living()
	if len(living) == 0 || rand.Float64() < seedShare {
		living = living[:0]
		for _, s := range p.seeds {
			if s != p.self {
				living = append(living, s)
			}
		}
	}
	if len(living) == 0 {
		return ""
	}
	return living[rand.IntN(len(living))]
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

func (p *Peers) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, _ := p.mirror.Revision()
	answer, err := p.call(ctx, address, message{Address: p.self, Revision: revision, Peers: p.living()})
	if err != nil {
		// A peer that stays silent is forgotten, which is logged.
		return
	}
	p.hear(address)
	p.learn(answer.Peers)
	if answer.Batch != nil && answer.Batch.Revision > revision {
		p.mirror.Apply(*answer.Batch, p.clock())
	}
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
	revision, _ := p.mirror.Revision()
	reply := message{Address: p.self, Revision: revision, Peers: p.living()}
	if revision > m.Revision && p.mirror.Filled() {
		batch := p.mirror.Since(m.Revision)
		reply.Batch = &batch
	}
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, "the exchange cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.Copy(w, bytes.NewReader(body))
}

// Path returns the path at which ServeHTTP is to be served.
func Path() string { return path }
