package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

var startTime = time.Unix(1_000_000, 0)

// instances returns n instances in the given number of data centres.
func instances(n, dataCentres int) []instance.Instance {
	list := make([]instance.Instance, 0, n)
	for i := range n {
		list = append(list, instance.Instance{
			Name:       fmt.Sprintf("worker-%05d", i),
			Service:    "lm-pool",
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
		})
	}
	return list
}

func readyReport(name string, running, limit int) load.Report {
	return load.Report{Instance: name, Phase: load.PhaseReady, Running: running, Limit: limit}
}

func policyNamed(name string) fleet.Policy {
	policy := fleet.DefaultPolicy()
	policy.Routing = name
	return policy
}

// Guards against the choice of an instance that is excluded or has reported that
// it is leaving, and against no choice while an eligible instance exists.
func TestChooseReturnsOnlyEligibleInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := instances(rapid.IntRange(1, 40).Draw(t, "instances"), 3)
		names := []string{loadAware, roundRobin, leastOutstanding, powerOfTwo}
		policy := policyNamed(rapid.SampledFrom(names).Draw(t, "policy"))
		policy.SubsetSize = rapid.IntRange(0, 10).Draw(t, "subset")
		r := New("gateway-1", policy, 1)
		r.SetDataCentre("dc-1")
		eligible := map[string]bool{}
		var excluded []string
		for _, i := range all {
			switch rapid.IntRange(0, 2).Draw(t, "state") {
			case 0:
				excluded = append(excluded, i.Name)
			case 1:
				r.ObserveReport(load.Report{Instance: i.Name, Phase: load.PhaseLeaving}, startTime)
			default:
				eligible[i.Name] = true
			}
		}
		for range 20 {
			chosen, ok := r.Choose(all, rapid.Uint64().Draw(t, "prefix"), excluded, startTime)
			require.Equal(t, len(eligible) > 0, ok)
			require.Equal(t, ok, eligible[chosen.Name])
		}
	})
}

// Guards against an instance that is used by more gateways than the documented
// bound, so that their reports and connections exceed the control budget.
func TestSubsetsOverlapWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 400).Draw(t, "gateways")
		all := instances(rapid.IntRange(1, 300).Draw(t, "instances"), 1)
		size := rapid.IntRange(1, 40).Draw(t, "size")
		users := make(map[int]int)
		for g := range gateways {
			chosen := selectSubset(all, gatewayPosition{index: uint64(g), dataCentre: "none"}, size)
			require.Len(t, chosen, min(size, len(all)))
			for _, i := range chosen {
				users[i]++
			}
		}
		evenShare := math.Ceil(float64(gateways) * float64(min(size, len(all))) / float64(len(all)))
		bound := evenShare + 2*(math.Log2(float64(gateways))/3+1)
		for _, n := range users {
			require.LessOrEqual(t, float64(n), bound)
		}
	})
}

// Guards against a change of one instance that moves a gateway to a mostly
// different subset, which would lose the benefit of the instances' prefix caches.
func TestSubsetIsStable(t *testing.T) {
	all := instances(1400, 11)
	const size = 20
	for g := range 100 {
		p := gatewayPosition{index: uint64(g), dataCentre: "dc-3"}
		before := selectSubset(all, p, size)
		after := selectSubset(all[:1399], p, size)
		kept := 0
		for _, i := range before {
			for _, j := range after {
				if i == j {
					kept++
				}
			}
		}
		require.GreaterOrEqual(t, kept, size-4)
	}
}

// Guards against overlapping subsets of two gateways with the same list of
// gateways, and against a subset that ignores the gateway's data centre.
func TestSubsetFollowsGatewaysAndDataCentre(t *testing.T) {
	all := instances(200, 4)
	a := New("a", fleet.DefaultPolicy(), 1)
	b := New("b", fleet.DefaultPolicy(), 2)
	for _, r := range []*Router{a, b} {
		r.SetGateways([]string{"b", "a"})
		r.SetDataCentre("dc-2")
	}
	subsetOfA := map[string]bool{}
	for _, name := range a.Subset(all, startTime) {
		subsetOfA[name] = true
	}
	require.Len(t, subsetOfA, fleet.DefaultPolicy().SubsetSize)
	for _, name := range b.Subset(all, startTime) {
		require.False(t, subsetOfA[name], "%s is in both subsets", name)
	}
	require.Len(t, a.table(all, startTime).local, fleet.DefaultPolicy().SubsetSize/2)
}

// Guards against a stale subset after the list was replaced by one of the same
// length.
func TestChooseUsesChangedList(t *testing.T) {
	r := New("gateway-1", fleet.DefaultPolicy(), 1)
	list := instances(1, 1)
	_, ok := r.Choose(list, 0, nil, startTime)
	require.True(t, ok)
	changed := instances(1, 1)
	changed[0].SidecarAddress = "127.0.0.1:7"
	chosen, ok := r.Choose(changed, 0, nil, startTime)
	require.True(t, ok)
	require.Equal(t, "127.0.0.1:7", chosen.SidecarAddress)
}

// Guards against a choice that ignores the load, the gateway's attempts since the
// report, the age of the report or the data centre.
func TestLoadAwareComparesPressure(t *testing.T) {
	all := instances(2, 2)
	localName, remoteName := all[0].Name, all[1].Name
	for name, test := range map[string]struct {
		prepare func(r *Router)
		want    string
	}{
		"equal load prefers the local instance": {func(r *Router) {
			r.ObserveReport(readyReport(localName, 5, 10), startTime)
			r.ObserveReport(readyReport(remoteName, 5, 10), startTime)
		}, localName},
		"higher load of the local instance": {func(r *Router) {
			r.ObserveReport(readyReport(localName, 9, 10), startTime)
			r.ObserveReport(readyReport(remoteName, 5, 10), startTime)
		}, remoteName},
		"own attempts since the report": {func(r *Router) {
			r.ObserveReport(readyReport(localName, 5, 10), startTime)
			r.ObserveReport(readyReport(remoteName, 5, 10), startTime)
			for range 4 {
				r.BeginAttempt(localName)
			}
		}, remoteName},
		"own attempts before the report": {func(r *Router) {
			for range 4 {
				r.BeginAttempt(localName)
			}
			r.ObserveReport(readyReport(localName, 5, 10), startTime)
			r.ObserveReport(readyReport(remoteName, 5, 10), startTime)
		}, localName},
		"old report of an idle instance": {func(r *Router) {
			r.ObserveReport(readyReport(localName, 0, 10), startTime.Add(-time.Minute))
			r.ObserveReport(readyReport(remoteName, 1, 10), startTime)
		}, remoteName},
		"starting instance": {func(r *Router) {
			r.ObserveReport(load.Report{Instance: localName, Phase: load.PhaseStarting, Limit: 4}, startTime)
			r.ObserveReport(readyReport(remoteName, 5, 10), startTime)
		}, remoteName},
	} {
		t.Run(name, func(t *testing.T) {
			r := New("gateway-1", fleet.DefaultPolicy(), 1)
			r.SetDataCentre("dc-0")
			test.prepare(r)
			for range 20 {
				chosen, ok := r.Choose(all, 0, nil, startTime)
				require.True(t, ok)
				require.Equal(t, test.want, chosen.Name)
			}
		})
	}
}

// Guards against prompts with the same prefix that are sent to different instances
// at low load, and against prefix affinity that overloads an instance.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	all := instances(8, 1)
	r := New("gateway-1", fleet.DefaultPolicy(), 1)
	for _, i := range all {
		r.ObserveReport(readyReport(i.Name, 4, 10), startTime)
	}
	first, _ := r.Choose(all, 77, nil, startTime)
	for range 20 {
		repeated, _ := r.Choose(all, 77, nil, startTime)
		require.Equal(t, first.Name, repeated.Name)
	}
	r.ObserveReport(readyReport(first.Name, 8, 10), startTime)
	other, _ := r.Choose(all, 77, []string{}, startTime)
	require.NotEqual(t, first.Name, other.Name)
}

type fixedWeight map[string]float64

func (f fixedWeight) Weight(name string, _ time.Time) float64 {
	if w, ok := f[name]; ok {
		return w
	}
	return 1
}

// Guards against full traffic to an instance that is being returned to service,
// whether chosen by load or by prefix, and against no choice if it is the only
// instance.
func TestWeightReducesWork(t *testing.T) {
	for _, prefix := range []uint64{0, 77} {
		all := instances(6, 1)
		r := New("gateway-1", fleet.DefaultPolicy(), 1)
		for _, i := range all {
			r.ObserveReport(readyReport(i.Name, 2, 10), startTime)
		}
		returning, _ := r.Choose(all, 77, nil, startTime)
		r.SetWeights(fixedWeight{returning.Name: 0.1})
		chosen := 0
		for range 1000 {
			if i, _ := r.Choose(all, prefix, nil, startTime); i.Name == returning.Name {
				chosen++
			}
		}
		require.Positive(t, chosen)
		require.Less(t, chosen, 150)
		only, ok := r.Choose([]instance.Instance{returning}, prefix, nil, startTime)
		require.True(t, ok)
		require.Equal(t, returning.Name, only.Name)
	}
}

// Guards against an accumulation of records of replaced instances, and against the
// removal of a record with running attempts.
func TestRecordsOfReplacedInstancesAreRemoved(t *testing.T) {
	r := New("gateway-1", fleet.DefaultPolicy(), 1)
	r.ObserveReport(readyReport("gone", 1, 10), startTime)
	r.ObserveReport(readyReport("busy", 1, 10), startTime)
	r.BeginAttempt("busy")
	later := startTime.Add(time.Hour)
	r.Choose(instances(2, 1), 0, nil, later)
	_, ok := r.LastReport("gone")
	require.False(t, ok)
	_, ok = r.LastReport("busy")
	require.True(t, ok)
}

func BenchmarkChoose(b *testing.B) {
	for _, policy := range []string{loadAware, leastOutstanding, powerOfTwo, roundRobin} {
		for _, n := range []int{60, 1400, 14_000} {
			for _, size := range []int{20, 0} {
				b.Run(fmt.Sprintf("%s/instances=%d/subset=%d", policy, n, size), func(b *testing.B) {
					benchmarkChoose(b, policy, n, size)
				})
			}
		}
	}
}

func benchmarkChoose(b *testing.B, policyName string, n, size int) {
	policy := policyNamed(policyName)
	policy.SubsetSize = size
	all := instances(n, 11)
	r := New("gateway-1", policy, 1)
	r.SetDataCentre("dc-3")
	for i := range all {
		r.ObserveReport(readyReport(all[i].Name, i%10, 10), startTime)
	}
	excluded := []string{all[0].Name}
	prefix := uint64(0)
	r.Choose(all, prefix, excluded, startTime)
	b.ReportAllocs()
	for b.Loop() {
		prefix++
		r.Choose(all, prefix%1000, excluded, startTime)
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{60, 1400, 14_000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			all := instances(n, 11)
			emptyRecords := newRecords()
			b.ReportAllocs()
			for b.Loop() {
				newTable(all, gatewayPosition{index: 3, dataCentre: "dc-3"}, 20, emptyRecords)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	r := New("gateway-1", fleet.DefaultPolicy(), 1)
	b.ReportAllocs()
	for b.Loop() {
		r.ObserveReport(readyReport("worker-1", 1, 10), startTime)
	}
}
