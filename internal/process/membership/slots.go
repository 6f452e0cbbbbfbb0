package membership

import (
	"maps"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

// slotRetention is how long a slot that no list names is remembered. A list that
// is older than this brings back an earlier incarnation.
const slotRetention = 24 * time.Hour

// slotKey names a slot. An instance without a slot holds one of its own name.
type slotKey struct{ service, slot, instance string }

func keyOf(i instance.Instance) slotKey {
	if i.Slot == "" {
		return slotKey{i.Service, "", i.Name}
	}
	return slotKey{i.Service, i.Slot, ""}
}

// holder is the latest incarnation known of a slot.
type holder struct {
	incarnation uint64
	seen        time.Time
}

// slots remembers the latest incarnation of each slot, also while no list shows
// it, because the incarnations of a slot only rise.
type slots struct{ holders map[slotKey]holder }

func newSlots() *slots { return &slots{holders: make(map[slotKey]holder)} }

// note takes a list and returns the slots of which it shows only an earlier
// incarnation than the latest known.
func (s *slots) note(instances []instance.Instance, now time.Time) map[slotKey]bool {
	shown := make(map[slotKey]uint64, len(instances))
	for _, i := range instances {
		shown[keyOf(i)] = max(shown[keyOf(i)], i.Incarnation)
	}
	outdated := make(map[slotKey]bool)
	for key, incarnation := range shown {
		latest := s.holders[key].incarnation
		outdated[key] = incarnation < latest
		s.holders[key] = holder{max(latest, incarnation), now}
	}
	maps.DeleteFunc(s.holders, func(_ slotKey, h holder) bool { return now.Sub(h.seen) > slotRetention })
	return outdated
}

// holds reports whether no later instance of the slot is known.
func (s *slots) holds(i instance.Instance) bool {
	return i.Incarnation >= s.holders[keyOf(i)].incarnation
}
