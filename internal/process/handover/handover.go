package handover

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/ledger"
	"github.com/flamingohold/flamingohold/internal/process/quarantine"
)

const (
	// TTL is how long a document waits for the successor. It is shorter than any
	// quarantine, so that a document is gone before an incarnation that could
	// not take it runs keys of its own.
	TTL = 300 * time.Second
	// capacity bounds the documents kept at once.
	capacity = 64
	// maxBytes bounds the encoded size of the documents kept at once.
	maxBytes = 16 << 20
)

// Document is the ledger of one slot.
type Document struct {
	Service string `json:"service"`
	Slot    string `json:"slot"`
	// SlotIncarnation counts the instances that have held the slot. Only the
	// same instance or the next one may take the document, because a later one
	// would miss what those in between ran.
	SlotIncarnation uint64              `json:"slot_incarnation"`
	Entries         []ledger.Entry      `json:"entries,omitempty"`
	Quarantine      quarantine.Snapshot `json:"quarantine"`
}

// TakeRequest names the document that a successor takes.
type TakeRequest struct {
	Service         string `json:"service"`
	SlotIncarnation uint64 `json:"slot_incarnation"`
}

// Store keeps documents for others. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	documents map[slotName]kept
	bytes     int
}

type slotName struct{ service, slot string }

type kept struct {
	document Document
	size     int
	since    time.Time
}

// New returns an empty store.
func New() *Store { return &Store{documents: make(map[slotName]kept)} }

// Put keeps a document with the encoded size and reports whether there was room.
// It replaces an earlier document of the slot.
func (s *Store) Put(d Document, size int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	name := slotName{d.Service, d.Slot}
	s.remove(name)
	if len(s.documents) >= capacity || s.bytes+size > maxBytes {
		return false
	}
	s.documents[name] = kept{d, size, now}
	s.bytes += size
	return true
}

// Take removes and returns the document of the slot. It can be taken once only,
// because the taker adds orders to it that a second taker would miss.
func (s *Store) Take(slot string, r TakeRequest, now time.Time) (Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	name := slotName{r.Service, slot}
	k, ok := s.documents[name]
	if !ok || !k.document.fits(r) {
		return Document{}, false
	}
	s.remove(name)
	return k.document, true
}

func (d *Document) fits(r TakeRequest) bool {
	return r.SlotIncarnation == d.SlotIncarnation || r.SlotIncarnation == d.SlotIncarnation+1
}

func (s *Store) expire(now time.Time) {
	for name, k := range s.documents {
		if now.Sub(k.since) >= TTL {
			s.remove(name)
		}
	}
}

func (s *Store) remove(name slotName) {
	s.bytes -= s.documents[name].size
	delete(s.documents, name)
}
