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

// View is one gateway's view of the instances. A wrong view costs a retry but
// breaks no guarantee, because a sidecar itself refuses what it must not run.
// View is safe for concurrent use.
type View struct {
	mu      sync.RWMutex
	entries map[string]*entry
	// services holds the listed entries of each service, in the order of the list.
	services    map[string][]*entry
	slots       *slots
	dataCentres *dataCentres
	// selections caches the usable instances by service. A new list or
	// configuration drops them all.
	selections map[string]selection
	// started is true after the first list, whose instances start at full weight.
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

// SetInstances applies an instance list, which may be older than the previous
// one. Where it shows only an earlier instance of a slot, the state of the
// later instance is kept.
func (v *View) SetInstances(instances []instance.Instance, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.selections)
	stale := v.slots.update(instances, now)
	previous := v.entries
	v.entries = make(map[string]*entry, len(instances))
	v.services = make(map[string][]*entry)
	for _, i := range instances {
		v.applyListed(previous[i.Name], i, now)
	}
	for name, e := range previous {
		if v.entries[name] == nil {
			v.retain(e, stale[keyOf(e.instance)], now)
		}
	}
	v.started = true
}

// applyListed applies one instance of the list. The entry e is the previous one
// of that name, nil if there is none.
func (v *View) applyListed(e *entry, i instance.Instance, now time.Time) {
	if duplicate := v.entries[i.Name]; duplicate != nil {
		e = duplicate
	}
	switch {
	case e == nil || keyOf(e.instance) != keyOf(i) || e.instance.SlotIncarnation < i.SlotIncarnation:
		e = newEntry(i, now)
		if v.started {
			e.rampStart = now
		}
	case e.instance.SlotIncarnation == i.SlotIncarnation:
		e.update(i, now)
	}
	v.add(e)
}

// add adds a listed entry.
func (v *View) add(e *entry) {
	e.departed = time.Time{}
	if v.entries[e.instance.Name] == nil {
		v.services[e.instance.Service] = append(v.services[e.instance.Service], e)
	}
	v.entries[e.instance.Name] = e
}

// retain handles an entry that the list does not contain. The parameter stale
// is true if the list shows an earlier instance of its slot.
func (v *View) retain(e *entry, stale bool, now time.Time) {
	if stale && e.departed.IsZero() && v.slots.holds(e.instance) {
		v.add(e)
		return
	}
	if e.departed.IsZero() {
		e.departed = now
	}
	if now.Sub(e.departed) < departedRetention {
		v.entries[e.instance.Name] = e
	}
}

// SetFleet applies the configured states of the data centres.
func (v *View) SetFleet(f fleet.Fleet, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.selections)
	for _, name := range v.dataCentres.set(f, now) {
		for _, e := range v.entries {
			// The sidecar may have reported that it is leaving only because its data
			// centre was out of service, and that has ended.
			if e.instance.DataCentre == name {
				e.leavingReport = leavingReport{}
			}
		}
	}
}

// Usable returns the instances of the service that may receive new work, in the
// order of the list. Ejected instances are omitted unless no other instance may
// receive work. The caller must not modify the result.
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
	s := selection{validFrom: now, validUntil: now.Add(maxSelectionAge)}
	var ejected []instance.Instance
	for _, e := range entries {
		s.validUntil = e.nextChange(now, s.validUntil)
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
// relative to an instance at full weight: 0 if it may receive none, and
// otherwise from 0.05 to 1. It ramps up after the instance appeared, after it
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

// permitted reports whether the list, the operators' configuration and the
// instance itself permit new work.
func (v *View) permitted(e *entry, now time.Time) bool {
	return e.departed.IsZero() && !e.leaving(now) && v.slots.holds(e.instance) && v.dataCentres.inService(e.instance.DataCentre)
}

// Lookup returns the instance with the name in any state, for work that
// continues there. It still finds an instance for departedRetention after the
// list has dropped it.
func (v *View) Lookup(name string) (instance.Instance, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[name]
	if e == nil {
		return instance.Instance{}, false
	}
	return e.instance, true
}

// BySlot returns the listed instances of the service that hold or have held the
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
	slices.SortStableFunc(holders, func(a, b instance.Instance) int { return cmp.Compare(b.SlotIncarnation, a.SlotIncarnation) })
	return holders
}

// ObserveFailure records that this gateway could not reach the instance. Other
// gateways may still reach it, because the cause may be a network partition.
func (v *View) ObserveFailure(name string, now time.Time) {
	v.edit(name, func(e *entry) bool { return e.fail(now) })
}

// ObserveSuccess records that the instance answered.
func (v *View) ObserveSuccess(name string, now time.Time) {
	v.edit(name, func(e *entry) bool { return e.succeed(now) })
}

// ObserveReport records a sidecar's report about itself.
func (v *View) ObserveReport(report load.Report, now time.Time) {
	v.edit(report.Instance, func(e *entry) bool { return e.observe(report, now) })
}

// edit applies change to the entry with the name. If change returns true, the
// cached selection of the service is dropped.
func (v *View) edit(name string, change func(*entry) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.entries[name]; e != nil && change(e) {
		delete(v.selections, e.instance.Service)
	}
}
