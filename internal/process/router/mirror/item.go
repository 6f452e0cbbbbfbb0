package mirror

import "github.com/flamingohold/flamingohold/internal/process/eventlog"

// Item is the state of one key of the store.
type Item struct {
	Key string `json:"key"`
	// Value is nil for a deleted key.
	Value []byte `json:"value,omitempty"`
	// Revision is the store's revision at the last change of the key.
	Revision int64 `json:"revision"`
	Deleted  bool  `json:"deleted,omitempty"`
	// Unconfirmed is true for a deletion that was read from the store while that was
	// unstable for the router that read it. The key may soon be written again.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Steps and Compressed stand for Value in a batch of EncodedSince. Steps lead
	// from a version that the receiver holds to this one; Compressed holds this one.
	Steps      []Step `json:"steps,omitempty"`
	Compressed []byte `json:"compressed,omitempty"`
}

// Step is the difference between two versions of a value.
type Step struct {
	// Base and Revision are the revisions of the two versions.
	Base       int64  `json:"base"`
	Revision   int64  `json:"revision"`
	Difference []byte `json:"difference"`
}

// Position is a state of the store: a revision within an era.
type Position struct {
	// Era counts how often the store has been restored from a copy, 0 if unknown. A
	// restored store gives out revisions of the era before again.
	Era      int64
	Revision int64
}

// Before reports whether the position is earlier than the other one.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// LogRestored logs that the store was restored from a copy, if the position, which
// the source has stated, is of another era than the one held.
func LogRestored(log *eventlog.Log, source string, position, held Position) {
	if held.Revision == 0 || position.Era == held.Era {
		return
	}
	log.Emit(eventlog.StoreRestored).Str("source", source).Int64("era", position.Era).Int64("revision", position.Revision).
		Int64("held_era", held.Era).Int64("held_revision", held.Revision).Send()
}

// StoreSource is the source of the batches that the store itself sent.
const StoreSource = "store"

// Batch is a set of items and the position up to which it is complete.
type Batch struct {
	Items []Item `json:"items,omitempty"`
	// Era and Revision are the position.
	Era      int64 `json:"era,omitempty"`
	Revision int64 `json:"revision"`
	// Full is true if the batch holds every key that existed at Revision. A key
	// that is absent from a full batch has been deleted.
	Full bool `json:"full,omitempty"`
	// Unconfirmed is true if the absence of a key from a full batch may be due to a
	// store that was unstable for the router that sent the batch.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Source is StoreSource, or the address of the router that sent the batch.
	Source string `json:"-"`
}

// Position returns the position up to which the batch is complete.
func (b Batch) Position() Position { return Position{b.Era, b.Revision} }
