package drainnotice

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNotices bounds the notices that are kept, and maxShared those in a message.
	maxNotices = 4096
	maxShared  = 256
	// sharedPeriod is how long a notice is shared with other routers. In that time it
	// reaches all of them.
	sharedPeriod = 15 * time.Second
)

// Notice says that an incarnation of an upstream leaves.
type Notice struct {
	ID string `json:"id"`
	// Incarnation is 0 if it is unknown.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// record is a notice and when this router learnt it.
type record struct {
	incarnation int64
	learntAt    time.Time
}

// Notices is a set of notices. It must not be used by several goroutines at once.
type Notices struct {
	// records holds the notice of the latest incarnation of each upstream, by ID.
	records map[string]record
}

// New returns an empty set.
func New() *Notices { return &Notices{records: make(map[string]record)} }

// Record adds a notice. It returns false if the set covers it.
func (s *Notices) Record(n Notice, now time.Time) bool {
	if n.ID == "" || s.Covers(n) {
		return false
	}
	if _, known := s.records[n.ID]; !known && len(s.records) >= maxNotices {
		s.removeOldest()
	}
	s.records[n.ID] = record{n.Incarnation, now}
	return true
}

// Covers reports whether the set says that the incarnation leaves. An incarnation that
// is unknown, or earlier than the one of the notice, leaves too.
func (s *Notices) Covers(n Notice) bool {
	r, known := s.records[n.ID]
	return known && n.Incarnation <= r.incarnation
}

// Shared returns the notices for other routers, the latest first, and a digest of
// them.
func (s *Notices) Shared(now time.Time) ([]Notice, uint64) {
	var shared []Notice
	for id, r := range s.records {
		if now.Sub(r.learntAt) < sharedPeriod {
			shared = append(shared, Notice{id, r.incarnation})
		}
	}
	slices.SortFunc(shared, func(a, b Notice) int {
		if c := s.records[b.ID].learntAt.Compare(s.records[a.ID].learntAt); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	shared = shared[:min(len(shared), maxShared)]
	digest := uint64(0)
	for _, n := range shared {
		digest ^= n.digest()
	}
	return shared, digest
}

func (n Notice) digest() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(n.ID), uint64(n.Incarnation)))
}

func (s *Notices) removeOldest() {
	oldest := ""
	for id, r := range s.records {
		if oldest == "" || r.learntAt.Before(s.records[oldest].learntAt) {
			oldest = id
		}
	}
	delete(s.records, oldest)
}
