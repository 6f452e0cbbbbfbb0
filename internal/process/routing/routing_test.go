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

var start = time.Unix(1_000_000, 0)

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

func report(name string, running, limit int) load.Report {
	return load.Report{Instance: name, Phase: load.PhaseReady, Running: running, Limit: limit}
}

func policyNamed(name string) fleet.Policy {
	policy := fleet.DefaultPolicy()
	policy.Routing = name
	return policy
}

// Guards against work for an instance that is excluded, has left the list or
// announced that it is leaving, and against no choice while one is left.
func TestChooseKeepsToWhatIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := instances(rapid.IntRange(1, 40).Draw(t, "instances"), 3)
		names := []string{loadAware, roundRobin, leastOutstanding, powerOfTwo}
		policy := policyNamed(rapid.SampledFrom(names).Draw(t, "policy"))
		policy.SubsetSize = rapid.IntRange(0, 10).Draw(t, "subset")
		r := New("gateway-1", policy, 1)
		r.SetDataCentre("dc-1")
		left := map[string]bool{}
		var excluded []string
		for _, i := range all {
			switch rapid.IntRange(0, 2).Draw(t, "state") {
			case 0:
				excluded = append(excluded, i.Name)
			case 1:
				r.Observe(load.Report{Instance: i.Name, Phase: load.PhaseLeaving}, start)
			default:
				left[i.Name] = true
			}
		}
		for range 20 {
			chosen, ok := r.Choose(all, rapid.Uint64().Draw(t, "prefix"), excluded, start)
			require.Equal(t, len(left) > 0, ok)
			require.Equal(t, ok, left[chosen.Name])
		}
	})
}

// Guards against an instance that more gateways use than the documented bound,
// which lets their reports and connections exceed the control budget.
func TestSubsetsOverlapWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 400).Draw(t, "gateways")
		all := instances(rapid.IntRange(1, 300).Draw(t, "instances"), 1)
		size := rapid.IntRange(1, 40).Draw(t, "size")
		users := make(map[int]int)
		for g := range gateways {
			chosen := subset(all, place{index: uint64(g), dataCentre: "none"}, size)
			require.Len(t, chosen, min(size, len(all)))
			for _, i := range chosen {
				users[i]++
			}
		}
		even := math.Ceil(float64(gateways) * float64(min(size, len(all))) / float64(len(all)))
		bound := even + 2*(math.Log2(float64(gateways))/3+1)
		for _, n := range users {
			require.LessOrEqual(t, float64(n), bound)
		}
	})
}

// Guards against a replaced instance that makes gateways leave most of the
// instances they use, and their prefix caches.
func TestSubsetIsStable(t *testing.T) {
	all := instances(1400, 11)
	const size = 20
	for g := range 100 {
		p := place{index: uint64(g), dataCentre: "dc-3"}
		before := subset(all, p, size)
		after := subset(all[:1399], p, size)
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

// Guards against two gateways with the same list that derive different places
// from it, and against a subset that ignores the own data centre.
func TestSubsetFollowsGatewaysAndDataCentre(t *testing.T) {
	all := instances(200, 4)
	a := New("a", fleet.DefaultPolicy(), 1)
	b := New("b", fleet.DefaultPolicy(), 2)
	for _, r := range []*Router{a, b} {
		r.SetGateways([]string{"b", "a"})
		r.SetDataCentre("dc-2")
	}
	own := map[string]bool{}
	for _, name := range a.Subset(all, start) {
		own[name] = true
	}
	require.Len(t, own, fleet.DefaultPolicy().SubsetSize)
	for _, name := range b.Subset(all, start) {
		require.False(t, own[name], "%s is in both subsets", name)
	}
	require.Len(t, a.table(all, start).local, fleet.DefaultPolicy().SubsetSize/2)
}

// Guards against a stale subset after the list changed behind the same length.
func TestChooseSeesChangedList(t *testing.T) {
	r := New("gateway-1", fleet.DefaultPolicy(), 1)
	list := instances(1, 1)
	_, ok := r.Choose(list, 0, nil, start)
	require.True(t, ok)
	changed := instances(1, 1)
	changed[0].SidecarAddress = "127.0.0.1:7"
	chosen, ok := r.Choose(changed, 0, nil, start)
	require.True(t, ok)
	require.Equal(t, "127.0.0.1:7", chosen.SidecarAddress)
}

// Guards against a choice between two instances that ignores the load, the own
// attempts since the report, the age of the report or the data centre.
func TestLoadAwareComparesPressure(t *testing.T) {
	all := instances(2, 2)
	near, far := all[0].Name, all[1].Name
	for name, test := range map[string]struct {
		prepare func(r *Router)
		want    string
	}{
		"equal load stays near": {func(r *Router) {
			r.Observe(report(near, 5, 10), start)
			r.Observe(report(far, 5, 10), start)
		}, near},
		"higher load near": {func(r *Router) {
			r.Observe(report(near, 9, 10), start)
			r.Observe(report(far, 5, 10), start)
		}, far},
		"own attempts since the report": {func(r *Router) {
			r.Observe(report(near, 5, 10), start)
			r.Observe(report(far, 5, 10), start)
			for range 4 {
				r.Begin(near)
			}
		}, far},
		"own attempts before the report": {func(r *Router) {
			for range 4 {
				r.Begin(near)
			}
			r.Observe(report(near, 5, 10), start)
			r.Observe(report(far, 5, 10), start)
		}, near},
		"old report of an idle instance": {func(r *Router) {
			r.Observe(report(near, 0, 10), start.Add(-time.Minute))
			r.Observe(report(far, 1, 10), start)
		}, far},
		"starting": {func(r *Router) {
			r.Observe(load.Report{Instance: near, Phase: load.PhaseStarting, Limit: 4}, start)
			r.Observe(report(far, 5, 10), start)
		}, far},
	} {
		t.Run(name, func(t *testing.T) {
			r := New("gateway-1", fleet.DefaultPolicy(), 1)
			r.SetDataCentre("dc-0")
			test.prepare(r)
			for range 20 {
				chosen, ok := r.Choose(all, 0, nil, start)
				require.True(t, ok)
				require.Equal(t, test.want, chosen.Name)
			}
		})
	}
}

// Guards against prompts with the same beginning that miss the prefix cache at
// low load, and against affinity that overloads an instance.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	all := instances(8, 1)
	r := New("gateway-1", fleet.DefaultPolicy(), 1)
	for _, i := range all {
		r.Observe(report(i.Name, 4, 10), start)
	}
	first, _ := r.Choose(all, 77, nil, start)
	for range 20 {
		again, _ := r.Choose(all, 77, nil, start)
		require.Equal(t, first.Name, again.Name)
	}
	r.Observe(report(first.Name, 8, 10), start)
	other, _ := r.Choose(all, 77, []string{}, start)
	require.NotEqual(t, first.Name, other.Name)
}

type fixedWeight map[string]float64

func (f fixedWeight) Weight(name string, _ time.Time) float64 {
	if w, ok := f[name]; ok {
		return w
	}
	return 1
}

// Guards against full traffic for an instance that is being returned to
// service, by load or by prefix, and against no choice while only such are left.
func TestWeightReducesWork(t *testing.T) {
	for _, prefix := range []uint64{0, 77} {
		all := instances(6, 1)
		r := New("gateway-1", fleet.DefaultPolicy(), 1)
		for _, i := range all {
			r.Observe(report(i.Name, 2, 10), start)
		}
		returning, _ := r.Choose(all, 77, nil, start)
		r.SetWeights(fixedWeight{returning.Name: 0.1})
		chosen := 0
		for range 1000 {
			if i, _ := r.Choose(all, prefix, nil, start); i.Name == returning.Name {
				chosen++
			}
		}
		require.Positive(t, chosen)
		require.Less(t, chosen, 150)
		only, ok := r.Choose([]instance.Instance{returning}, prefix, nil, start)
		require.True(t, ok)
		require.Equal(t, returning.Name, only.Name)
	}
}

// Guards against records of replaced instances that pile up, and against the
// loss of a count that is still needed.
func TestRecordsOfReplacedInstancesAreForgotten(t *testing.T) {
	r := New("gateway-1", fleet.DefaultPolicy(), 1)
	r.Observe(report("gone", 1, 10), start)
	r.Observe(report("busy", 1, 10), start)
	r.Begin("busy")
	later := start.Add(time.Hour)
	r.Choose(instances(2, 1), 0, nil, later)
	_, ok := r.Load("gone")
	require.False(t, ok)
	_, ok = r.Load("busy")
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

func benchmarkChoose(b *testing.B, name string, n, size int) {
	policy := policyNamed(name)
	policy.SubsetSize = size
	all := instances(n, 11)
	r := New("gateway-1", policy, 1)
	r.SetDataCentre("dc-3")
	for i := range all {
		r.Observe(report(all[i].Name, i%10, 10), start)
	}
	excluded := []string{all[0].Name}
	prefix := uint64(0)
	r.Choose(all, prefix, excluded, start)
	b.ReportAllocs()
	for b.Loop() {
		prefix++
		r.Choose(all, prefix%1000, excluded, start)
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{60, 1400, 14_000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			all := instances(n, 11)
			known := newRecords()
			b.ReportAllocs()
			for b.Loop() {
				newTable(all, place{index: 3, dataCentre: "dc-3"}, 20, known)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	r := New("gateway-1", fleet.DefaultPolicy(), 1)
	b.ReportAllocs()
	for b.Loop() {
		r.Observe(report("worker-1", 1, 10), start)
	}
}
