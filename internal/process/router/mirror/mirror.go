package mirror

import (
	"bytes"
	"sync"
	"time"
)

// maxTombstones bounds the number of deleted keys that are kept for peers. A
// peer that is further behind receives all items.
const maxTombstones = 2000

// Change is the new state of a key in the mirror.
type Change struct {
	Item Item
	// Source is the source of the batch that contained the item.
	Source string
	// Unconfirmed is that field of the item.
	Unconfirmed bool
	// Restored is true if the item, or its absence, is that of the copy from which the
	// store was restored. It may be older than what was known before.
	Restored bool
}

// Mirror is the local replica. It is safe for concurrent use.
type Mirror struct {
	// onChange is called with the changes of each batch, in the order in which
	// batches are applied and with the mirror's lock held.
	onChange func(changes []Change, now time.Time)

	mu sync.Mutex
	// items holds the latest state of each key, including deleted keys.
	items map[string]Item
	// lineages holds how the large values can be sent, by key.
	lineages map[string]*lineage
	// position is the position up to which the items are complete.
	position Position
	// compactedRevision is the lowest revision after which all deleted keys are
	// still held.
	compactedRevision int64
	// tombstones counts the deleted keys in items.
	tombstones int
	// lastContact is when the store last answered this process, zero for never.
	// contactChanged is closed and replaced whenever it changes.
	lastContact    time.Time
	contactChanged chan struct{}
	// unstableUntil is the time until which deletions that this process reads from the
	// store are unconfirmed.
	unstableUntil time.Time
	synced        bool
	// positionChanged is closed and replaced whenever the position changes.
	positionChanged chan struct{}
}

// New returns an empty mirror that calls onChange with the changes of each
// batch.
func New(onChange func(changes []Change, now time.Time)) *Mirror {
	return &Mirror{
		onChange: onChange, items: make(map[string]Item), lineages: make(map[string]*lineage),
		positionChanged: make(chan struct{}), contactChanged: make(chan struct{}),
	}
}

// Apply stores the items of the batch that are newer than the ones held. It returns
// the number of items that changed. A batch of an earlier era changes nothing; the
// first batch of a later era must be full and replaces all items.
func (m *Mirror) Apply(b Batch, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changes []Change
	switch {
	case b.Era < m.position.Era, b.Era > m.position.Era && !b.Full:
		return 0
	case b.Era > m.position.Era && m.synced:
		changes = m.restore(b, now)
	default:
		changes = m.update(b, now)
	}
	m.synced = true
	if m.position.Before(b.Position()) {
		m.position = b.Position()
		close(m.positionChanged)
		m.positionChanged = make(chan struct{})
	}
	m.purgeTombstones()
	if len(changes) > 0 {
		m.onChange(changes, now)
	}
	return len(changes)
}

// update stores the items of a batch of the era that the mirror holds.
func (m *Mirror) update(b Batch, now time.Time) []Change {
	var changes []Change
	for _, item := range b.Items {
		if known, ok := m.items[item.Key]; ok && known.Revision >= item.Revision {
			continue
		}
		changes = append(changes, m.put(item, b.Source, now))
	}
	if b.Full {
		changes = append(changes, m.deleteAbsent(b, now)...)
	}
	return changes
}

// restore replaces all items by those of the batch, which begins a new era. What was
// written in the era before may be written again, so that deletions are unconfirmed
// for a while.
func (m *Mirror) restore(b Batch, now time.Time) []Change {
	held := m.items
	m.items, m.lineages, m.tombstones = make(map[string]Item), make(map[string]*lineage), 0
	m.compactedRevision = b.Revision
	m.extendUnstable(now.Add(unconfirmedPeriod))
	var changes []Change
	for _, item := range b.Items {
		change := m.put(item, b.Source, now)
		change.Restored = true
		known, ok := held[item.Key]
		delete(held, item.Key)
		if !ok || known.Deleted != item.Deleted || !bytes.Equal(known.Value, item.Value) {
			changes = append(changes, change)
		}
	}
	for key, item := range held {
		if !item.Deleted {
			absent := Item{Key: key, Revision: b.Revision, Deleted: true}
			changes = append(changes, Change{Item: absent, Source: b.Source, Unconfirmed: true, Restored: true})
		}
	}
	return changes
}

func (m *Mirror) put(item Item, source string, now time.Time) Change {
	if known, ok := m.items[item.Key]; ok && known.Deleted {
		m.tombstones--
	}
	if item.Deleted {
		m.tombstones++
		item.Value = nil
		item.Unconfirmed = item.Unconfirmed || source == StoreSource && now.Before(m.unstableUntil)
	}
	m.updateLineage(item)
	item.Steps, item.Compressed = nil, nil
	m.items[item.Key] = item
	return Change{Item: item, Source: source, Unconfirmed: item.Deleted && item.Unconfirmed}
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
		absent := Item{Key: key, Revision: b.Revision, Deleted: true, Unconfirmed: b.Unconfirmed}
		changes = append(changes, m.put(absent, b.Source, now))
	}
	return changes
}

// purgeTombstones removes all deleted keys once there are more than
// maxTombstones.
func (m *Mirror) purgeTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}
	for key, item := range m.items {
		if item.Deleted {
			delete(m.items, key)
		}
	}
	m.tombstones = 0
	m.compactedRevision = m.position.Revision
}

// Since returns the items that have changed after the position, or a full batch
// if it is of another era or deletions after it are no longer held.
func (m *Mirror) Since(after Position) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since(after)
}

// since is Since with the lock held.
func (m *Mirror) since(after Position) Batch {
	b := Batch{Era: m.position.Era, Revision: m.position.Revision}
	b.Full = after.Era != m.position.Era || after.Revision < m.compactedRevision || after.Revision == 0
	for _, item := range m.items {
		if b.Full && item.Deleted {
			continue
		}
		if b.Full || item.Revision > after.Revision {
			b.Items = append(b.Items, item)
		}
	}
	return b
}

// Position returns the position up to which the items are complete, and a channel
// that is closed when it changes.
func (m *Mirror) Position() (Position, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position, m.positionChanged
}

// HasSynced reports whether a batch has been applied.
func (m *Mirror) HasSynced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// RecordContact records that the store answered this process.
func (m *Mirror) RecordContact(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = now
	close(m.contactChanged)
	m.contactChanged = make(chan struct{})
}

// ContactChanged returns a channel that is closed when the store next answers this
// process.
func (m *Mirror) ContactChanged() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contactChanged
}

// LastContact returns when the store last answered this process, zero for never.
func (m *Mirror) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// UnstableUntil returns the time until which deletions that this process reads from the
// store are unconfirmed.
func (m *Mirror) UnstableUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unstableUntil
}

// MarkUnstable marks deletions that this process reads from the store as unconfirmed
// until the given time.
func (m *Mirror) MarkUnstable(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.extendUnstable(until)
}

// extendUnstable is MarkUnstable with the lock held.
func (m *Mirror) extendUnstable(until time.Time) {
	if until.After(m.unstableUntil) {
		m.unstableUntil = until
	}
}
