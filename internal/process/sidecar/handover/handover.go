package handover

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/quarantine"
)

const (
	// TTL is how long a document is kept for the successor. It is shorter than any
	// quarantine, so that a document has expired before an incarnation that could
	// not take it starts to run opaque keys.
	TTL = 300 * time.Second
	// capacity is the largest number of documents kept at once.
	capacity = 64
	// maxBytes is the largest total encoded size of the documents kept at once.
	maxBytes = 16 << 20
)

// Document is the handed-over state of one slot: the ledger's keys and the
// quarantine.
type Document struct {
	Service string `json:"service"`
	Slot    string `json:"slot"`
	// SlotIncarnation is the number of the instance in the sequence of the slot's
	// holders. Only the same instance or the next one may take the document,
	// because the document lacks the orders that instances in between ran.
	SlotIncarnation uint64              `json:"slot_incarnation"`
	Entries         []ledger.Entry      `json:"entries,omitempty"`
	Quarantine      quarantine.Snapshot `json:"quarantine"`
}

// TakeRequest identifies the successor that takes a document.
type TakeRequest struct {
	Service         string `json:"service"`
	SlotIncarnation uint64 `json:"slot_incarnation"`
}

// Store keeps the documents of other slots. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	documents map[slotName]storedDocument
	// bytes is the total encoded size of the documents.
	bytes int
}

type slotName struct{ service, slot string }

type storedDocument struct {
	document Document
	// size is the encoded size in bytes.
	size     int
	storedAt time.Time
}

// New returns an empty store.
func New() *Store { return &Store{documents: make(map[slotName]storedDocument)} }

// Put stores a document of the encoded size in bytes and reports whether there
// was room. It replaces an earlier document of the slot.
func (s *Store) Put(d Document, size int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	name := slotName{d.Service, d.Slot}
	s.remove(name)
	if len(s.documents) >= capacity || s.bytes+size > maxBytes {
		return false
	}
	s.documents[name] = storedDocument{d, size, now}
	s.bytes += size
	return true
}

// Take removes and returns the document of the slot. A document can be taken
// only once, because the sidecar that took it runs further orders, which a
// second copy would lack.
func (s *Store) Take(slot string, r TakeRequest, now time.Time) (Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	name := slotName{r.Service, slot}
	stored, ok := s.documents[name]
	if !ok || !stored.document.availableTo(r) {
		return Document{}, false
	}
	s.remove(name)
	return stored.document, true
}

// availableTo reports whether the successor may take the document.
func (d *Document) availableTo(r TakeRequest) bool {
	return r.SlotIncarnation == d.SlotIncarnation || r.SlotIncarnation == d.SlotIncarnation+1
}

func (s *Store) expire(now time.Time) {
	for name, stored := range s.documents {
		if now.Sub(stored.storedAt) >= TTL {
			s.remove(name)
		}
	}
}

func (s *Store) remove(name slotName) {
	s.bytes -= s.documents[name].size
	delete(s.documents, name)
}
