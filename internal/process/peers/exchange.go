package peers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/exchange"
	"github.com/flamingohold/flamingohold/internal/process/mirror"
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
		p.mirror.MarkUnstable(p.clock().Add(time.Duration(answer.UnstableMillis) * time.Millisecond))
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
	if batch.Revision > m.Revision && p.mirror.HasSynced() {
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
