package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/stall"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/handover"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// handOverPeers is the largest number of peers that a stopping or starting
	// sidecar calls, in an order that is the same for both.
	handOverPeers = 16
	// handOverStall is the longest time of one call without progress, in addition to
	// the time that its body takes at minHandOverRate. The kernel takes a large part
	// of a body at once, so that its progress is not seen. handOverTimeout bounds the
	// call.
	handOverStall   = 2 * time.Second
	minHandOverRate = 500e3 // bytes a second
	handOverTimeout = 20 * time.Second
	// takeInterval is the time between two rounds in which a starting sidecar calls
	// its peers for the ledger. firstTakeInterval applies to the firstTakeRounds
	// rounds after the start, while the sidecar receives the configuration and the
	// instance list, because it refuses opaque keys until it has the ledger.
	takeInterval      = time.Second
	firstTakeInterval = 50 * time.Millisecond
	firstTakeRounds   = 60
	// maxDocumentBytes is the largest encoded size of a document. It is below the
	// limit on request bodies.
	maxDocumentBytes = 6 << 20
)

// handleHandOver stores the ledger of a stopping sidecar.
func (s *Sidecar) handleHandOver(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var document handover.Document
	if err == nil {
		err = json.Unmarshal(body, &document)
	}
	if err != nil || document.Slot != r.PathValue("slot") {
		_ = problem.Rejected("malformed_hand_over", http.StatusBadRequest, "the document is malformed or of another slot").Write(w)
		return
	}
	if refusal, refused := s.unavailable(); refused {
		_ = refusal.Write(w)
		return
	}
	if !s.handovers.Put(document, len(body), s.clock()) {
		_ = problem.NotRun("no_room", "there is no room for the document", retryAfter).Write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleTake hands a stored ledger to the successor.
func (s *Sidecar) handleTake(w http.ResponseWriter, r *http.Request) {
	var request handover.TakeRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		_ = problem.Rejected("malformed_take", http.StatusBadRequest, err.Error()).Write(w)
		return
	}
	document, ok := s.handovers.Take(r.PathValue("slot"), request, s.clock())
	if !ok {
		_ = problem.Rejected("no_hand_over", http.StatusNotFound, "there is no document for the successor").Write(w)
		return
	}
	writeJSON(w, document)
}

// peers returns the addresses of at most handOverPeers other sidecars of the
// service. Their order depends only on the slots, so that the peer that has the
// ledger is among the first that the successor calls.
func (s *Sidecar) peers() []string {
	type candidate struct {
		address string
		weight  uint64
	}
	var candidates []candidate
	for _, i := range s.listedInstances() {
		if i.Service == s.settings.Service && i.Slot != s.settings.Slot && i.State == instance.StateLive {
			weight := xxhash.Sum64String(i.Slot + "\x00" + s.settings.Slot)
			candidates = append(candidates, candidate{i.SidecarAddress, weight})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	addresses := make([]string, 0, handOverPeers)
	for _, c := range candidates[:min(handOverPeers, len(candidates))] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// handOver closes the ledger and sends it to one peer. If the outcome of a call
// is unknown, no other peer is tried: otherwise two copies could be taken one
// after the other, and the second would lack the orders run in between.
func (s *Sidecar) handOver(ctx context.Context) {
	svc := s.service()
	if svc == nil || svc.Kind != service.KindPlain {
		return
	}
	s.handOverMu.Lock()
	defer s.handOverMu.Unlock()
	body, err := encodeDocument(s.closeLedger(svc))
	for _, address := range s.peers() {
		if err != nil {
			break
		}
		status, _, callErr := s.callPeer(ctx, address, s.handOverPath(""), body)
		if callErr == nil && status < http.StatusMultipleChoices {
			s.log.Emit(eventlog.LedgerHandedOver).Str("peer", address).Send()
			return
		}
		if callErr != nil && !isDialError(callErr) {
			err = callErr
		}
	}
	s.log.Emit(eventlog.LedgerNotHandedOver).Err(err).Send()
}

// closeLedger closes the ledger and returns the document to hand over.
func (s *Sidecar) closeLedger(svc *service.Service) handover.Document {
	now := s.clock()
	return handover.Document{
		Service:         s.settings.Service,
		Slot:            s.settings.Slot,
		SlotIncarnation: s.settings.SlotIncarnation,
		Entries:         s.ledger.Close(now),
		Quarantine:      s.quarantine.Snapshot(quarantineRules(svc), now),
	}
}

// encodeDocument encodes the document, without the stored results if it would be
// too large with them. The successor then knows that the orders ran, but not
// their answers.
func encodeDocument(d handover.Document) ([]byte, error) {
	body, err := json.Marshal(d)
	if err != nil || len(body) <= maxDocumentBytes {
		return body, errors.Wrap(err, "encode ledger")
	}
	d.Entries = slices.Clone(d.Entries)
	for i := range d.Entries {
		if d.Entries[i].Result != nil {
			d.Entries[i].Result = &ledger.Result{Dropped: true}
		}
	}
	body, err = json.Marshal(d)
	if err == nil && len(body) > maxDocumentBytes {
		err = errors.Newf("ledger of %d keys exceeds the size limit of a hand-over", len(d.Entries))
	}
	return body, errors.Wrap(err, "encode ledger")
}

func (s *Sidecar) handOverPath(suffix string) string {
	return "/v1/hand-overs/" + url.PathEscape(s.settings.Slot) + suffix
}

// takeLoop calls the peers for the predecessor's ledger until the ledger was
// taken over or the quarantine has ended.
func (s *Sidecar) takeLoop(ctx context.Context) {
	for round := 0; pause.For(ctx, takeDelay(round)); round++ {
		svc := s.service()
		if svc == nil {
			continue
		}
		if svc.Kind != service.KindPlain || s.quarantine.EndsAt(quarantineRules(svc)).Before(s.clock()) || s.takeLedger(ctx) {
			return
		}
	}
}

// takeDelay returns the delay before a round of takeLoop.
func takeDelay(round int) time.Duration {
	if round < firstTakeRounds {
		return firstTakeInterval
	}
	return takeInterval
}

// takeLedger tries to take the predecessor's ledger over and reports whether it
// succeeded. A leaving sidecar does not try, because it would get its own
// ledger.
func (s *Sidecar) takeLedger(ctx context.Context) bool {
	s.handOverMu.Lock()
	defer s.handOverMu.Unlock()
	if s.health.leaving() {
		return false
	}
	body, err := json.Marshal(handover.TakeRequest{Service: s.settings.Service, SlotIncarnation: s.settings.SlotIncarnation})
	if err != nil {
		return false
	}
	for _, address := range s.peers() {
		status, answer, err := s.callPeer(ctx, address, s.handOverPath("/take"), body)
		if err == nil && status == http.StatusOK && s.importDocument(answer, address) {
			return true
		}
	}
	return false
}

// importDocument imports the ledger and the quarantine of a document. If not all
// of its entries can be imported, this sidecar's own quarantine stays in force.
func (s *Sidecar) importDocument(body []byte, peer string) bool {
	var document handover.Document
	if err := json.Unmarshal(body, &document); err != nil {
		return false
	}
	now := s.clock()
	if !s.ledger.Import(document.Entries, now) {
		return false
	}
	s.quarantine.TakeOver(document.Quarantine, now)
	s.log.Emit(eventlog.LedgerTaken).Str("peer", peer).Int("keys", len(document.Entries)).Send()
	return true
}

// callPeer sends a POST request with a JSON body to another sidecar and returns
// the status and the body of the response.
func (s *Sidecar) callPeer(ctx context.Context, address, path string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	sending := time.Duration(float64(len(body)) / minHandOverRate * float64(time.Second))
	ctx, guard := stall.New(ctx, handOverStall+sending)
	defer guard.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "create request to peer %s", address)
	}
	request.Header.Set("Authorization", "Bearer "+s.secret)
	request.Header.Set("Content-Type", "application/json")
	request.GetBody = nil
	response, err := s.peerClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "call peer %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(guard.Reader(io.LimitReader(response.Body, maxDocumentBytes), handOverStall))
	return response.StatusCode, answer, errors.Wrapf(err, "call peer %s", address)
}

// isDialError reports whether the call failed before a connection was opened.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
