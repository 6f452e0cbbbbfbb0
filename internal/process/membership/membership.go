package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// View is one gateway's view of the instances. A sidecar itself refuses
// what it must not run, so that a wrong view costs a retry and no guarantee.
// View is safe for concurrent use.
type View struct {
	mu      sync.RWMutex
	entries map[string]*entry
	// services holds the listed entries of each service in the order of the list.
	services    map[string][]*entry
	slots       *slots
	dataCentres *dataCentres
	// selections holds the usable instances by service. A change drops them all.
	selections map[string]selection
	// started is true after the first list, whose instances need no ramp.
	started bool
}

// New returns a view without instances.
func New() *View {
	return &View{
		entries:     make(map[string]*entry),
		services:    make(map[string][]*entry),
		slots:       newSlots(),
		dataCentres: newDataCentres(),
		selections:  make(map[string]selection),
	}
}

// SetInstances takes an instance list, which may be older than an earlier one.
// Where it shows a slot's earlier instance, the later one stays as it was.
func (v *View) SetInstances(instances []instance.Instance, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.selections)
	outdated := v.slots.note(instances, now)
	before := v.entries
	v.entries = make(map[string]*entry, len(instances))
	v.services = make(map[string][]*entry)
	for _, i := range instances {
		v.list(before[i.Name], i, now)
	}
	for name, e := range before {
		if v.entries[name] == nil {
			v.retain(e, outdated[keyOf(e.instance)], now)
		}
	}
	v.started = true
}

// list takes one element of the list. The entry is the one that had its name.
func (v *View) list(e *entry, i instance.Instance, now time.Time) {
	if repeated := v.entries[i.Name]; repeated != nil {
		e = repeated
	}
	switch {
	case e == nil || keyOf(e.instance) != keyOf(i) || e.instance.Incarnation < i.Incarnation:
		e = newEntry(i, now)
		if v.started {
			e.ramp = now
		}
	case e.instance.Incarnation == i.Incarnation:
		e.update(i, now)
	}
	v.show(e)
}

func (v *View) show(e *entry) {
	e.departed = time.Time{}
	if v.entries[e.instance.Name] == nil {
		v.services[e.instance.Service] = append(v.services[e.instance.Service], e)
	}
	v.entries[e.instance.Name] = e
}

// retain takes an entry that is not in the list. Outdated states that the list
// shows an earlier instance of its slot.
func (v *View) retain(e *entry, outdated bool, now time.Time) {
	if outdated && e.departed.IsZero() && v.slots.holds(e.instance) {
		v.show(e)
		return
	}
	if e.departed.IsZero() {
		e.departed = now
	}
	if now.Sub(e.departed) < departedRetention {
		v.entries[e.instance.Name] = e
	}
}

// SetFleet takes the configured states of the data centres.
func (v *View) SetFleet(f fleet.Fleet, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.selections)
	for _, name := range v.dataCentres.set(f, now) {
		for _, e := range v.entries {
			// A sidecar also reports that it leaves while its data centre is out of
			// service, which has ended.
			if e.instance.DataCentre == name {
				e.reported = evidence{}
			}
		}
	}
}

// Usable returns the instances of the service that may receive new work, in the
// order of the list. Instances that failed here are left out for a while, but
// not if no other is left. The result must not be changed.
func (v *View) Usable(service string, now time.Time) []instance.Instance {
	v.mu.RLock()
	s, ok := v.selections[service]
	v.mu.RUnlock()
	if ok && s.valid(now) {
		return s.usable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s = v.selectFrom(v.services[service], now)
	if len(v.services[service]) > 0 {
		v.selections[service] = s
	}
	return s.usable
}

func (v *View) selectFrom(entries []*entry, now time.Time) selection {
	s := selection{from: now, until: now.Add(maxSelectionAge)}
	var ejected []instance.Instance
	for _, e := range entries {
		s.until = e.nextChange(now, s.until)
		switch {
		case !v.permitted(e, now):
		case e.ejected(now):
			ejected = append(ejected, e.instance)
		default:
			s.usable = append(s.usable, e.instance)
		}
	}
	if len(s.usable) == 0 {
		s.usable = ejected
	}
	return s
}

// Weight returns the share of new work that the instance should receive,
// compared with an instance at full weight: 0 if it may receive none, and
// otherwise from 0.05 to 1. It rises after the instance appeared, after it
// recovered from failures, and after its data centre returned to service.
func (v *View) Weight(name string, now time.Time) float64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[name]
	if e == nil || !v.permitted(e, now) {
		return 0
	}
	return min(e.weight(now), v.dataCentres.weight(e.instance.DataCentre, now))
}

// permitted reports whether the list, the operators and the instance itself
// permit new work.
func (v *View) permitted(e *entry, now time.Time) bool {
	return e.departed.IsZero() && !e.leaving(now) && v.slots.holds(e.instance) && v.dataCentres.inService(e.instance.DataCentre)
}

// Lookup returns the instance with the name whatever its state, for work that
// continues there. It still finds an instance for some time after the list has
// dropped it.
func (v *View) Lookup(name string) (instance.Instance, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[name]
	if e == nil {
		return instance.Instance{}, false
	}
	return e.instance, true
}

// BySlot returns the listed instances of the service that hold or held the
// slot, the newest first.
func (v *View) BySlot(service, slot string) []instance.Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var holders []instance.Instance
	for _, e := range v.services[service] {
		if e.instance.Slot == slot {
			holders = append(holders, e.instance)
		}
	}
	slices.SortStableFunc(holders, func(a, b instance.Instance) int { return cmp.Compare(b.Incarnation, a.Incarnation) })
	return holders
}

// ObserveFailure records that the instance could not be reached from here. It
// says nothing about the instance's health elsewhere, because a partition is not
// a death.
func (v *View) ObserveFailure(name string, now time.Time) {
	v.edit(name, func(e *entry) bool { return e.fail(now) })
}

// ObserveSuccess records that the instance answered.
func (v *View) ObserveSuccess(name string, now time.Time) {
	v.edit(name, func(e *entry) bool { return e.succeed(now) })
}

// ObserveReport records what a sidecar reports about itself.
func (v *View) ObserveReport(report load.Report, now time.Time) {
	v.edit(report.Instance, func(e *entry) bool { return e.observe(report, now) })
}

// edit applies a function that reports whether it changed the entry.
func (v *View) edit(name string, change func(*entry) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.entries[name]; e != nil && change(e) {
		delete(v.selections, e.instance.Service)
	}
}
