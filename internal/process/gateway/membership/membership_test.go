package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/gateway/membership"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

var start = time.Unix(1_000_000, 0)

func fleetWith(state string) fleet.Fleet {
	return fleet.Fleet{DataCentres: []fleet.DataCentre{
		{Name: "zg-a", State: state}, {Name: "zg-b", State: fleet.StateInService},
	}}
}

func entry(name, slot string, incarnation uint64, state string) instance.Instance {
	return instance.Instance{Name: name, Service: "lm", Slot: slot, DataCentre: "zg-a", SlotIncarnation: incarnation, State: state}
}

func viewOf(list ...instance.Instance) *membership.View {
	v := membership.New()
	v.SetFleet(fleetWith(fleet.StateInService), start)
	v.SetInstances(list, start)
	return v
}

func names(instances []instance.Instance) []string {
	var all []string
	for _, i := range instances {
		all = append(all, i.Name)
	}
	return all
}

func after(d time.Duration) time.Time { return start.Add(d) }

// Guards against new work for an instance that is leaving because a stale list
// shows it live again, and against an instance that stays unused for ever after
// its announcement was withdrawn.
func TestLeavingOutweighsStaleList(t *testing.T) {
	live, leaving := entry("lm-1", "s-1", 1, instance.StateLive), entry("lm-1", "s-1", 1, instance.StateLeaving)
	v := viewOf(leaving)
	v.SetInstances([]instance.Instance{live}, after(time.Second))
	require.Empty(t, v.Usable("lm", after(2*time.Second)))
	require.NotEmpty(t, v.Usable("lm", after(2*time.Minute)))

	v = viewOf(live)
	v.ObserveReport(load.Report{Instance: "lm-1", Incarnation: "p1", Phase: load.PhaseLeaving}, after(time.Second))
	v.ObserveReport(load.Report{Instance: "lm-1", Incarnation: "p1", Phase: load.PhaseReady}, after(time.Second))
	v.SetInstances([]instance.Instance{live}, after(2*time.Second))
	require.Empty(t, v.Usable("lm", after(3*time.Second)))
	v.ObserveReport(load.Report{Instance: "lm-1", Incarnation: "p2", Phase: load.PhaseReady}, after(3*time.Second))
	require.NotEmpty(t, v.Usable("lm", after(3*time.Second)))
}

// Guards against a report that a sidecar is ready, sent before it began to leave and
// delivered after, which cancels that: the incarnation in its reports changes every 10 s.
func TestLateReportDoesNotCancelLeaving(t *testing.T) {
	report := func(incarnation, phase string) load.Report {
		return load.Report{Instance: "lm-1", Incarnation: incarnation, Phase: phase}
	}
	for _, c := range []struct {
		leaving []string
		ready   string
		usable  bool
	}{
		{[]string{"p1-4"}, "p1-3", false},
		{[]string{"p1-4"}, "p1-4", false},
		{[]string{"p1-12"}, "p1-9", false},
		{[]string{"p1-4", "p1-3"}, "p1-4", false},
		{[]string{"p1-4"}, "p1-5", true},
		{[]string{"p1-4"}, "p1-12", true},
		{[]string{"p1-4"}, "p2-0", true},
	} {
		v := viewOf(entry("lm-1", "s-1", 1, instance.StateLive))
		for _, leaving := range c.leaving {
			v.ObserveReport(report(leaving, load.PhaseLeaving), start)
		}
		v.ObserveReport(report(c.ready, load.PhaseReady), start)
		require.Equal(t, c.usable, len(v.Usable("lm", after(time.Second))) > 0, c.ready)
	}
}

// Guards against a returned data centre that stays unused because a sidecar
// that did not know of the return yet refused a request.
func TestLeavingReportOfLaggingSidecarExpires(t *testing.T) {
	v := viewOf(entry("lm-1", "s-1", 1, instance.StateLive))
	v.ObserveReport(load.Report{Instance: "lm-1", Incarnation: "p1", Phase: load.PhaseLeaving}, start)
	require.Empty(t, v.Usable("lm", after(2*time.Second)))
	require.NotEmpty(t, v.Usable("lm", after(3*time.Second)))
}

// Guards against a data centre that stays unused after its return because its
// sidecars reported that they were leaving while it was out of service.
func TestReturnedDataCentreRampsUp(t *testing.T) {
	v := viewOf(entry("lm-1", "s-1", 1, instance.StateLive))
	require.InDelta(t, 1, v.Weight("lm-1", start), 0)
	v.SetFleet(fleetWith(fleet.StateOutOfService), after(time.Second))
	require.Empty(t, v.Usable("lm", after(time.Second)))
	require.Zero(t, v.Weight("lm-1", after(time.Second)))
	v.ObserveReport(load.Report{Instance: "lm-1", Incarnation: "p1", Phase: load.PhaseLeaving, ConfigurationVersion: 2}, after(2*time.Second))
	v.SetFleet(fleetWith(fleet.StateInService), after(3*time.Second))
	require.Equal(t, []string{"lm-1"}, names(v.Usable("lm", after(3*time.Second))))
	require.Less(t, v.Weight("lm-1", after(3*time.Second)), 0.1)
	require.InDelta(t, 0.5, v.Weight("lm-1", after(18*time.Second)), 0.01)
	require.InDelta(t, 1, v.Weight("lm-1", after(33*time.Second)), 0)
}

// Guards against a stale list that reintroduces a replaced instance or removes
// its replacement.
func TestStaleListDoesNotReintroduceEarlierIncarnation(t *testing.T) {
	first, second := entry("lm-1", "s-1", 1, instance.StateLive), entry("lm-9", "s-1", 2, instance.StateLive)
	v := viewOf(first)
	v.SetInstances([]instance.Instance{second}, after(time.Second))
	v.SetInstances([]instance.Instance{first}, after(2*time.Second))
	require.Equal(t, []string{"lm-9"}, names(v.Usable("lm", after(3*time.Second))))
	require.Equal(t, []string{"lm-9", "lm-1"}, names(v.BySlot("lm", "s-1")))
	v.SetInstances(nil, after(4*time.Second))
	v.SetInstances([]instance.Instance{first}, after(5*time.Second))
	require.Empty(t, v.Usable("lm", after(5*time.Second)))
	_, found := v.Lookup("lm-9")
	require.True(t, found, "work in progress can still look it up")
}

// Guards against an instance that gets its full share right after a failure,
// against one that is never used again, and against failures that make all
// instances unusable.
func TestFailuresEjectTemporarily(t *testing.T) {
	v := viewOf(entry("lm-1", "s-1", 1, instance.StateLive), entry("lm-2", "s-2", 1, instance.StateLive))
	for range 10 {
		v.ObserveFailure("lm-1", start)
	}
	require.Equal(t, []string{"lm-2"}, names(v.Usable("lm", start)))
	v.ObserveSuccess("lm-1", start)
	require.Equal(t, []string{"lm-2"}, names(v.Usable("lm", start)), "the success belongs to earlier work")
	probe := after(1100 * time.Millisecond)
	require.Len(t, v.Usable("lm", probe), 2, "ten simultaneous failures count as one")
	require.InDelta(t, 0.05, v.Weight("lm-1", probe), 0)
	v.ObserveFailure("lm-1", probe)
	require.Len(t, v.Usable("lm", probe.Add(1500*time.Millisecond)), 1)
	v.ObserveFailure("lm-2", probe.Add(1500*time.Millisecond))
	require.Len(t, v.Usable("lm", probe.Add(1500*time.Millisecond)), 2, "a gateway that reaches no instance keeps trying")
	v.ObserveSuccess("lm-1", probe.Add(3*time.Second))
	require.Less(t, v.Weight("lm-1", probe.Add(3*time.Second)), 0.1)
	require.InDelta(t, 1, v.Weight("lm-1", probe.Add(13*time.Second)), 0)
}

// model is the expected state after all observations.
type model struct {
	inService map[string]bool
	// newest is the latest incarnation by slot. leavingUntil is the time until
	// which an instance counts as leaving, by instance name.
	newest       map[string]uint64
	leavingUntil map[string]time.Time
	list         []instance.Instance
}

// Guards against sequences of stale lists, reports, failures and operators'
// changes after which an instance receives work that one source forbids, after
// which failures alone make all instances unusable, or after which a weight is
// out of range.
func TestUsableRespectsAllSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := membership.New()
		m := &model{inService: make(map[string]bool), newest: make(map[string]uint64), leavingUntil: make(map[string]time.Time)}
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"list":    func(t *rapid.T) { m.setList(t, v, now) },
			"fleet":   func(t *rapid.T) { m.setFleet(t, v, now) },
			"failure": func(t *rapid.T) { v.ObserveFailure(anyName(t), now) },
			"success": func(t *rapid.T) { v.ObserveSuccess(anyName(t), now) },
			"leaving": func(t *rapid.T) { m.setLeaving(t, v, now) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { m.check(t, v, now) },
		})
	})
}

func anyName(t *rapid.T) string {
	return fmt.Sprintf("s-%d-%d", rapid.IntRange(0, 2).Draw(t, "slot"), rapid.IntRange(1, 3).Draw(t, "incarnation"))
}

func (m *model) setList(t *rapid.T, v *membership.View, now time.Time) {
	m.list = nil
	for slot := range 3 {
		for incarnation := uint64(1); incarnation <= 3; incarnation++ {
			state := rapid.SampledFrom([]string{"", "", instance.StateLive, instance.StateLive, instance.StateLeaving}).Draw(t, "state")
			if state == "" {
				continue
			}
			i := entry(fmt.Sprintf("s-%d-%d", slot, incarnation), fmt.Sprintf("s-%d", slot), incarnation, state)
			i.DataCentre = []string{"zg-a", "zg-b", "zg-a"}[slot]
			m.list = append(m.list, i)
			m.newest[i.Slot] = max(m.newest[i.Slot], incarnation)
			if state == instance.StateLeaving {
				m.recordLeaving(i.Name, now.Add(time.Minute))
			}
		}
	}
	v.SetInstances(m.list, now)
}

func (m *model) recordLeaving(name string, until time.Time) {
	if until.After(m.leavingUntil[name]) {
		m.leavingUntil[name] = until
	}
}

func (m *model) setFleet(t *rapid.T, v *membership.View, now time.Time) {
	state := rapid.SampledFrom([]string{fleet.StateInService, fleet.StateOutOfService}).Draw(t, "state")
	v.SetFleet(fleetWith(state), now)
	m.inService = map[string]bool{"zg-a": state == fleet.StateInService, "zg-b": true}
}

// setLeaving reports only from instances in the data centre that is always in
// service, because the return of a data centre discards such reports.
func (m *model) setLeaving(t *rapid.T, v *membership.View, now time.Time) {
	name := fmt.Sprintf("s-1-%d", rapid.IntRange(1, 3).Draw(t, "incarnation"))
	if _, known := v.Lookup(name); known {
		m.recordLeaving(name, now.Add(3*time.Second))
		v.ObserveReport(load.Report{Instance: name, Incarnation: "p", Phase: load.PhaseLeaving}, now)
	}
}

func (m *model) check(t *rapid.T, v *membership.View, now time.Time) {
	usable := v.Usable("lm", now)
	for _, i := range usable {
		require.True(t, m.inService[i.DataCentre], "%s is in a data centre that is out of service", i.Name)
		require.Equal(t, m.newest[i.Slot], i.SlotIncarnation, "%s is replaced", i.Name)
		require.Equal(t, instance.StateLive, i.State)
		require.False(t, now.Before(m.leavingUntil[i.Name]), "%s is leaving", i.Name)
		require.Positive(t, v.Weight(i.Name, now))
	}
	for _, i := range m.list {
		require.LessOrEqual(t, v.Weight(i.Name, now), 1.0)
		_, announced := m.leavingUntil[i.Name]
		if m.inService[i.DataCentre] && m.newest[i.Slot] == i.SlotIncarnation && !announced {
			require.NotEmpty(t, usable, "%s may receive new work", i.Name)
		}
	}
}

// BenchmarkUsable measures the call that each request makes, with the 1,400
// instances of the target size.
func BenchmarkUsable(b *testing.B) {
	var list []instance.Instance
	for i := range 1400 {
		list = append(list, entry(fmt.Sprintf("lm-%d", i), fmt.Sprintf("s-%d", i), 1, instance.StateLive))
	}
	v := viewOf(list...)
	b.ReportAllocs()
	for b.Loop() {
		v.Usable("lm", start)
	}
}

// BenchmarkSetInstances measures the merge of a list of the target size, 1,400
// instances.
func BenchmarkSetInstances(b *testing.B) {
	var list []instance.Instance
	for i := range 1400 {
		list = append(list, entry(fmt.Sprintf("lm-%d", i), fmt.Sprintf("s-%d", i), 1, instance.StateLive))
	}
	v := viewOf(list...)
	b.ReportAllocs()
	for b.Loop() {
		v.SetInstances(list, start)
	}
}
