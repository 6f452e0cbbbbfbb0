package mirror

import (
	"sync"
	"time"
)

// maxTombstones bounds the deleted keys that are remembered for peers. A peer
// that is further behind gets all items.
const maxTombstones = 2000

// Change is an item that is new in the mirror.
type Change struct {
	Item Item
	// Unconfirmed is true for a deletion that the store did while it was
	// unstable, so that the key may soon be written again.
	Unconfirmed bool
}

// Mirror is the local copy. It is safe for concurrent use.
type Mirror struct {
	// changed is told of each change in the order of application, with the
	// mirror's lock held.
	changed func(changes []Change, now time.Time)

	mu sync.Mutex
	// items holds the last state of each key, deleted ones included.
	items map[string]Item
	// revision is the revision up to which the items are complete.
	revision int64
	// floor is the lowest revision after which no deleted key was forgotten.
	floor int64
	// tombstones counts the deleted keys in items.
	tombstones int
	// contact is when the store last answered this process, zero for never.
	contact time.Time
	// unstableUntil is until when deletions are unconfirmed.
	unstableUntil time.Time
	filled        bool
	// wake is closed and replaced when the revision increases.
	wake chan struct{}
}

// New returns an empty mirror that tells changed of each change.
func New(changed func(changes []Change, now time.Time)) *Mirror {
	return &Mirror{changed: changed, items: make(map[string]Item), wake: make(chan struct{})}
}

// Apply takes over the items of the batch that are newer than those held.
func (m *Mirror) Apply(b Batch, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changes []Change
	for _, item := range b.Items {
		if known, ok := m.items[item.Key]; ok && known.Revision >= item.Revision {
			continue
		}
		changes = append(changes, m.put(item, now))
	}
	if b.Full {
		changes = append(changes, m.deleteAbsent(b, now)...)
	}
	m.filled = true
	if b.Revision > m.revision {
		m.revision = b.Revision
		close(m.wake)
		m.wake = make(chan struct{})
	}
	m.forgetTombstones()
	if len(changes) > 0 {
		m.changed(changes, now)
	}
}

func (m *Mirror) put(item Item, now time.Time) Change {
	if known, ok := m.items[item.Key]; ok && known.Deleted {
		m.tombstones--
	}
	if item.Deleted {
		m.tombstones++
		item.Value = nil
	}
	m.items[item.Key] = item
	return Change{Item: item, Unconfirmed: item.Deleted && now.Before(m.unstableUntil)}
}

func (m *Mirror) deleteAbsent(b Batch, now time.Time) []Change {
	present := make(map[string]bool, len(b.Items))
	for _, item := range b.Items {
		present[item.Key] = true
	}
	var changes []Change
	for key, item := range m.items {
		if present[key] || item.Deleted || item.Revision > b.Revision {
			continue
		}
		changes = append(changes, m.put(Item{Key: key, Revision: b.Revision, Deleted: true}, now))
	}
	return changes
}

// forgetTombstones forgets all deleted keys once there are too many.
func (m *Mirror) forgetTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}
	for key, item := range m.items {
		if item.Deleted {
			delete(m.items, key)
		}
	}
	m.tombstones = 0
	m.floor = m.revision
}

// Since returns what has changed after the revision.
func (m *Mirror) Since(revision int64) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Revision: m.revision, Full: revision < m.floor || revision == 0}
	for _, item := range m.items {
		if b.Full && item.Deleted {
			continue
		}
		if b.Full || item.Revision > revision {
			b.Items = append(b.Items, item)
		}
	}
	return b
}

// Revision returns the revision up to which the items are complete, and a
// channel that is closed when it increases.
func (m *Mirror) Revision() (int64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.wake
}

// HasSynced reports whether any batch has been applied.
func (m *Mirror) HasSynced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.filled
}

// RecordContact records that the store answered this process.
func (m *Mirror) RecordContact(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contact = now
}

// LastContact returns when the store last answered this process, zero for never.
func (m *Mirror) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contact
}

// UnstableUntil returns until when deletions are unconfirmed.
func (m *Mirror) UnstableUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unstableUntil
}

// MarkUnstable marks deletions as unconfirmed until the given time.
func (m *Mirror) MarkUnstable(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.unstableUntil) {
		m.unstableUntil = until
	}
}
