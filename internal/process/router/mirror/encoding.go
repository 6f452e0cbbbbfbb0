package mirror

import (
	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/router/deltacodec"
)

// maxValueBytes bounds a value that is decoded.
const maxValueBytes = 16 << 20

var codec = deltacodec.New(maxValueBytes)

// Held returns the revisions of the large values that the mirror holds, by key.
func (m *Mirror) Held() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := make(map[string]int64, len(m.lineages))
	for key := range m.lineages {
		held[key] = m.items[key].Revision
	}
	return held
}

// EncodedSince returns the items of Since with each large value encoded for a
// receiver that holds the given revisions of large values, if these are of the same
// era. Without a step from such a revision, the value is sent completely; if that is
// necessary but complete is false, EncodedSince returns false.
func (m *Mirror) EncodedSince(after Position, held map[string]int64, complete bool) (Batch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Era != m.position.Era {
		held = nil
	}
	b := m.since(after)
	for i, item := range b.Items {
		l := m.lineages[item.Key]
		if l == nil {
			continue
		}
		b.Items[i].Value = nil
		if b.Items[i].Steps = l.from(held[item.Key]); b.Items[i].Steps != nil {
			continue
		}
		if !complete {
			return Batch{Era: b.Era, Revision: b.Revision}, false
		}
		if l.compressed == nil {
			l.compressed = codec.Compress(item.Value)
		}
		b.Items[i].Compressed = l.compressed
	}
	return b, true
}

// Decode returns the batch with the values of its encoded items. It returns an
// error if a step does not begin at the version that the mirror holds.
func (m *Mirror) Decode(b Batch) (Batch, error) {
	decoded := b
	decoded.Items = make([]Item, 0, len(b.Items))
	for _, item := range b.Items {
		value, err := m.value(item)
		if err != nil {
			return Batch{}, errors.Wrapf(err, "decode key %s, revision %d", item.Key, item.Revision)
		}
		item.Value = value
		decoded.Items = append(decoded.Items, item)
	}
	return decoded, nil
}

// value returns the value of an item that may be encoded.
func (m *Mirror) value(item Item) ([]byte, error) {
	switch {
	case item.Compressed != nil:
		return codec.Decompress(item.Compressed)
	case len(item.Steps) == 0:
		return item.Value, nil
	}
	m.mu.Lock()
	known := m.items[item.Key]
	m.mu.Unlock()
	if known.Revision >= item.Revision {
		return known.Value, nil
	}
	value := known.Value
	revision := known.Revision
	for _, s := range item.Steps {
		if s.Base != revision {
			return nil, errors.Newf("step from revision %d, but revision %d is held", s.Base, revision)
		}
		patched, err := codec.Patch(value, s.Difference)
		if err != nil {
			return nil, err
		}
		value, revision = patched, s.Revision
	}
	if revision != item.Revision {
		return nil, errors.Newf("steps lead to revision %d", revision)
	}
	return value, nil
}

// updateLineage sets the lineage of an item that is about to replace the one held.
func (m *Mirror) updateLineage(item Item) {
	if item.Deleted || len(item.Value) < minLargeBytes {
		delete(m.lineages, item.Key)
		return
	}
	current, known := m.lineages[item.Key], m.items[item.Key]
	if current == nil {
		m.lineages[item.Key] = &lineage{}
		return
	}
	steps := item.Steps
	if len(steps) == 0 {
		steps = []Step{{Base: known.Revision, Revision: item.Revision, Difference: codec.Difference(known.Value, item.Value)}}
	}
	m.lineages[item.Key] = current.extend(steps, len(item.Value))
}
