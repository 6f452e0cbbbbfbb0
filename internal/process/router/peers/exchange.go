package peers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/drainnotice"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

// message is the request and the response of an exchange between two routers.
type message struct {
	// Address is the sender's peer address.
	Address string `json:"address"`
	// Era and Revision are the position of the sender's mirror.
	Era      int64 `json:"era,omitempty"`
	Revision int64 `json:"revision"`
	// Heartbeat increases with each message of the sender, 0 if it sends none.
	Heartbeat uint64 `json:"heartbeat,omitempty"`
	// Peers holds the addresses of the routers that the sender considers alive, and
	// PeerLags for each how far the newest heartbeat that the sender knows is behind
	// the sender's own; the difference takes fewer bytes.
	Peers    []string `json:"peers"`
	PeerLags []int64  `json:"peer_lags,omitempty"`
	// EncodedPeers holds further names in the form of package peernames, and
	// DecodesNames is true if the sender decodes that form.
	EncodedPeers []byte `json:"encoded_peers,omitempty"`
	DecodesNames bool   `json:"decodes_names,omitempty"`
	// LinkMbps is the bandwidth of the sender's link, 0 if unknown. Readers are the
	// routers that, to the sender's knowledge, query the store on behalf of all.
	LinkMbps float64  `json:"link_mbps,omitempty"`
	Readers  []reader `json:"readers,omitempty"`
	// WaitMillis is how long the receiver may hold the request until it has a newer
	// revision.
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// ContactAgeMillis is the age of the store's last response to the sender, or to
	// a router from which the sender has its items; negative for never.
	ContactAgeMillis int64 `json:"contact_age_ms"`
	// HeldMillis is how long the sender held the request before this response.
	HeldMillis int64 `json:"held_ms,omitempty"`
	// StopsInMillis is the time until the sender exits, 0 if it is not stopping.
	StopsInMillis int64 `json:"stops_in_ms,omitempty"`
	// Encoded is true if the sender decodes encoded items. Held then holds the
	// revisions of the sender's large values, by key, and Complete is true if the
	// response may contain large values completely.
	Encoded  bool             `json:"encoded,omitempty"`
	Held     map[string]int64 `json:"held,omitempty"`
	Complete bool             `json:"complete,omitempty"`
	// Evidence holds the sender's evidence on prompts, if it differs from what the
	// receiver is known to have, and EvidenceDigest its digest.
	Evidence       []promptblock.SharedCrash `json:"evidence,omitempty"`
	EvidenceDigest uint64                    `json:"evidence_digest,omitempty"`
	// Limits holds the limits of upstreams that the sender knows, if they differ from
	// what the receiver is known to have, and LimitsDigest their digest.
	Limits       []statedlimit.Limit `json:"limits,omitempty"`
	LimitsDigest uint64              `json:"limits_digest,omitempty"`
	// Notices holds the recent notices of leaving upstreams that the sender knows, if
	// they differ from what the receiver is known to have, and NoticesDigest their
	// digest.
	Notices       []drainnotice.Notice `json:"notices,omitempty"`
	NoticesDigest uint64               `json:"notices_digest,omitempty"`
	// Batch holds the items that the receiver lacks; it is set in responses only.
	Batch *mirror.Batch `json:"batch,omitempty"`
}

// position returns the position of the sender's mirror.
func (m message) position() mirror.Position {
	return mirror.Position{Era: m.Era, Revision: m.Revision}
}

// exchange sends this router's state to the peer and applies the items of the
// response that this router lacks. It reports whether the peer answered and this
// router now has the peer's items.
func (p *Peers) exchange(ctx context.Context, address string, wait time.Duration) bool {
	// Complete values are requested from one peer at a time, so that transfers do
	// not share the link.
	if p.completing.TryLock() {
		defer p.completing.Unlock()
		return p.exchangeItems(ctx, address, wait, true)
	}
	return p.exchangeItems(ctx, address, wait, false)
}

func (p *Peers) exchangeItems(ctx context.Context, address string, wait time.Duration, complete bool) bool {
	held, _ := p.mirror.Position()
	request := p.message(held)
	request.WaitMillis = wait.Milliseconds()
	if wait == 0 {
		p.addNames(&request, p.peer(address).decodesNames)
	}
	request.Encoded, request.Complete = true, complete
	if !p.undecoded.Load() {
		request.Held = p.mirror.Held()
	}
	had := p.peer(address).stated
	p.addShared(&request, address, had)
	start := p.clock()
	response, err := p.call(ctx, address, request, wait)
	if err == nil {
		err = p.applyBatch(address, response.Batch, held)
	}
	elapsed := p.clock().Sub(start)
	if err != nil {
		p.metrics.failed.Inc(1)
		p.failures.noteFailure(address, held, elapsed, err)
		return false
	}
	p.metrics.succeeded.Inc(1)
	p.metrics.elapsed.RecordDuration(elapsed)
	p.failures.noteSuccess(address, response.position(), elapsed)
	p.recordSharedSent(request, address, had)
	p.recordSender(address, response)
	p.recordStore(response, start)
	return !p.isBehind(response.position())
}

// applyBatch applies the batch of a peer, nil for none. After an error, large
// values are requested without reference to the ones held.
func (p *Peers) applyBatch(address string, batch *mirror.Batch, held mirror.Position) error {
	if batch == nil || !held.Before(batch.Position()) {
		return nil
	}
	decoded, err := p.mirror.Decode(*batch)
	p.undecoded.Store(err != nil)
	if err != nil {
		return err
	}
	decoded.Source = address
	mirror.LogRestored(p.log, address, decoded.Position(), held)
	p.mirror.Apply(decoded, p.clock())
	return nil
}

// recordSender records what the message of a peer says of itself and of others.
func (p *Peers) recordSender(address string, m message) {
	p.recordContact(address, m.Heartbeat)
	p.addNamed(m)
	p.setLinks(append([]reader{{address, m.LinkMbps}}, m.Readers...))
	p.recordStop(m)
	p.prompts.Merge(m.Evidence, p.clock())
	p.limits.Merge(m.Limits, p.clock())
	p.drains.MergeNotices(m.Notices, p.clock())
	p.changePeer(address, func(k *peer) { k.stated, k.decodesNames = m.digests(), m.DecodesNames })
}

// recordStore records what the response says of the store. The exchange began at
// the given time. No time is dated later than it was, so that it does not grow
// younger while routers tell it each other.
func (p *Peers) recordStore(m message, start time.Time) {
	answered := start.Add(time.Duration(m.HeldMillis) * time.Millisecond)
	if m.ContactAgeMillis >= 0 {
		p.recordStoreContact(m.position(), answered.Add(-time.Duration(m.ContactAgeMillis)*time.Millisecond))
	}
}

// isBehind reports whether this router lacks items of the position.
func (p *Peers) isBehind(position mirror.Position) bool {
	held, _ := p.mirror.Position()
	return held.Before(position)
}

// recordStoreContact records when the store last answered the peer at the position,
// if this router's items are of the same era and at least as new.
func (p *Peers) recordStoreContact(peer mirror.Position, contact time.Time) {
	if held, _ := p.mirror.Position(); held.Era != peer.Era || held.Before(peer) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if contact.After(p.storeContact) {
		p.storeContact = contact
	}
	if p.storeContact.Sub(p.contactSignalled) >= contactStep {
		p.contactSignalled = p.storeContact
		close(p.contactChanged)
		p.contactChanged = make(chan struct{})
	}
}

// message returns a message with this router's state.
func (p *Peers) message(held mirror.Position) message {
	age := p.contactAge()
	m := message{Address: p.self, DecodesNames: true, Heartbeat: p.nextHeartbeat(), Era: held.Era, Revision: held.Revision, LinkMbps: p.linkMbps, Readers: p.readers(), ContactAgeMillis: age.Milliseconds()}
	if age < 0 {
		m.ContactAgeMillis = -1
	}
	p.mu.Lock()
	if !p.ownStopTime.IsZero() {
		m.StopsInMillis = max(1, p.ownStopTime.Sub(p.clock()).Milliseconds())
	}
	p.mu.Unlock()
	return m
}

// call sends the message to the peer, which may hold it for the given time.
func (p *Peers) call(ctx context.Context, address string, m message, hold time.Duration) (message, error) {
	var reply message
	size, err := p.fetcher.PostJSON(ctx, address, exchangePath, m, &reply, hold)
	p.metrics.bytesReceived.Inc(int64(size))
	return reply, err
}

// ServeHTTP handles an exchange that another router has started.
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m message
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&m); err != nil {
		http.Error(w, "the exchange cannot be decoded", http.StatusBadRequest)
		return
	}
	p.recordSender(m.Address, m)
	p.noteAhead(m)
	received := p.clock()
	p.awaitChange(r.Context(), m)
	batch, ok := p.batchFor(m)
	held := p.clock().Sub(received)
	reply := p.message(batch.Position())
	reply.HeldMillis = held.Milliseconds()
	p.addShared(&reply, m.Address, m.digests())
	p.recordSharedSent(reply, m.Address, m.digests())
	if m.WaitMillis == 0 {
		p.addNames(&reply, m.DecodesNames)
	}
	if ok && m.position().Before(batch.Position()) && p.mirror.HasSynced() {
		batch.Unconfirmed = p.clock().Before(p.mirror.UnstableUntil())
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

// batchFor returns the items that the sender of the message lacks, and whether it
// may receive them.
func (p *Peers) batchFor(m message) (mirror.Batch, bool) {
	if !m.Encoded {
		return p.mirror.Since(m.position()), true
	}
	return p.mirror.EncodedSince(m.position(), m.Held, m.Complete)
}

// noteAhead records that the sender of the message has newer items, unless
// another such peer is to be asked already.
func (p *Peers) noteAhead(m message) {
	if !p.isBehind(m.position()) {
		return
	}
	select {
	case p.ahead <- m.Address:
	default:
	}
}

// awaitChange waits until this router has a newer revision than the sender of the
// message or the store has answered again, but no longer than the message allows. A
// router far from the readers would otherwise learn of each answer too late and take
// the store for lost.
func (p *Peers) awaitChange(ctx context.Context, m message) {
	held, changed := p.mirror.Position()
	ownContact := p.mirror.ContactChanged()
	p.mu.Lock()
	contact := p.contactChanged
	p.mu.Unlock()
	wait := min(time.Duration(m.WaitMillis)*time.Millisecond, longPollWait)
	if wait <= 0 || m.position().Before(held) {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-ownContact:
	case <-contact:
	case <-timer.C:
	}
}
