package membership

import (
	"maps"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

// slotRetention is how long a slot that no list contains is kept. A list that is
// older than this could reintroduce an earlier incarnation.
const slotRetention = 24 * time.Hour

// slotKey identifies a slot. An instance without a slot has a slot of its own,
// which is identified by the instance's name.
type slotKey struct{ service, slot, instance string }

func keyOf(i instance.Instance) slotKey {
	if i.Slot == "" {
		return slotKey{i.Service, "", i.Name}
	}
	return slotKey{i.Service, i.Slot, ""}
}

// holder is the latest known incarnation of a slot.
type holder struct {
	incarnation uint64
	seen        time.Time
}

// slots holds the latest incarnation of each slot, even while no list contains
// the slot, because the incarnations of a slot only increase.
type slots struct{ holders map[slotKey]holder }

func newSlots() *slots { return &slots{holders: make(map[slotKey]holder)} }

// update applies a list and returns the slots for which the list contains only
// incarnations that are earlier than the latest known one.
func (s *slots) update(instances []instance.Instance, now time.Time) map[slotKey]bool {
	listed := make(map[slotKey]uint64, len(instances))
	for _, i := range instances {
		listed[keyOf(i)] = max(listed[keyOf(i)], i.SlotIncarnation)
	}
	stale := make(map[slotKey]bool)
	for key, incarnation := range listed {
		latest := s.holders[key].incarnation
		stale[key] = incarnation < latest
		s.holders[key] = holder{max(latest, incarnation), now}
	}
	maps.DeleteFunc(s.holders, func(_ slotKey, h holder) bool { return now.Sub(h.seen) > slotRetention })
	return stale
}

// holds reports whether the instance is the latest known one of its slot.
func (s *slots) holds(i instance.Instance) bool {
	return i.SlotIncarnation >= s.holders[keyOf(i)].incarnation
}
