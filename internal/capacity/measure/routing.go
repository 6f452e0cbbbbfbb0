package measure

import (
	"fmt"
	"strings"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/gateway/membership"
	"github.com/flamingohold/flamingohold/internal/process/gateway/routing"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const dataCentres = 11

// start is the time at which all parts are created.
var start = time.Unix(1_000_000, 0)

func routingDefinitions() []definition {
	sizes := []int{60, 350, 700, 1400, 2800, 14_000}
	return []definition{
		{"routing_memory", "B", "instance", sizes, routingMemory},
		{"routing_decision_subset_20", "ns", "instance", sizes, func(n int) float64 { return routingDecision(n, 20) }},
		{"routing_decision_no_subset", "ns", "instance", sizes, func(n int) float64 { return routingDecision(n, 0) }},
		{"routing_decision_copied_list", "ns", "instance", sizes, routingCopiedList},
		{"routing_new_list", "ns", "instance", sizes, routingNewList},
		{"membership_memory", "B", "instance", sizes, membershipMemory},
		{"membership_usable", "ns", "instance", sizes, membershipUsable},
	}
}

func deploymentFleet() fleet.Fleet {
	f := fleet.Fleet{Policy: fleet.DefaultPolicy()}
	for i := range dataCentres {
		f.DataCentres = append(f.DataCentres, fleet.DataCentre{
			Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("region-%d", i%3), State: fleet.StateInService,
		})
	}
	return f
}

// instances returns an instance list as a JSON decoder creates it, in which no two
// strings share memory.
func instances(n int) []instance.Instance {
	list := make([]instance.Instance, 0, n)
	for i := range n {
		list = append(list, instance.Instance{
			Name:            fmt.Sprintf("worker-%05d-a1b2", i),
			Service:         strings.Clone("lm-pool"),
			Slot:            fmt.Sprintf("slot-%05d", i),
			DataCentre:      fmt.Sprintf("dc-%d", i%dataCentres),
			Region:          fmt.Sprintf("region-%d", i%3),
			UpstreamAddress: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			SidecarAddress:  fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
			SlotIncarnation: 1,
			State:           strings.Clone(instance.StateLive),
		})
	}
	return list
}

// newRouter returns a router that has made a decision on the list. A subset size of
// 0 means no subset.
func newRouter(list []instance.Instance, subset int) *routing.Router {
	policy := fleet.DefaultPolicy()
	policy.SubsetSize = subset
	r := routing.New("gateway-1", policy, 1)
	r.SetDataCentre("dc-3")
	r.Choose(list, 1, nil, start)
	return r
}

// routingMemory returns the memory of a router with all instances in its subset and
// a load report of each, which is the largest state that a gateway can have.
func routingMemory(n int) float64 {
	list := instances(n)
	return heapBytes(list, func() any {
		r := newRouter(list, 0)
		for _, i := range list {
			r.ObserveReport(load.Report{Instance: i.Name, Phase: load.PhaseReady, Limit: 10}, start)
		}
		return r
	})
}

// routingDecision returns the time of a decision on an unchanged list with one
// excluded instance.
func routingDecision(n, subset int) float64 {
	list := instances(n)
	r := newRouter(list, subset)
	for i := range list {
		r.ObserveReport(load.Report{Instance: list[i].Name, Phase: load.PhaseReady, Running: i % 10, Limit: 10}, start)
	}
	excluded := []string{list[0].Name}
	prefix := uint64(0)
	return nanoseconds(func() {
		prefix++
		r.Choose(list, prefix%1000, excluded, start)
	})
}

// routingCopiedList returns the time of a decision on a copy of the last list. The
// router must compare the two, because the copy has another address.
func routingCopiedList(n int) float64 {
	lists := [][]instance.Instance{instances(n), instances(n)}
	r := newRouter(lists[0], 20)
	return nanoseconds(func() { r.Choose(lists[1], 1, nil, start) })
}

// routingNewList returns the time of a decision after the instance list changed.
func routingNewList(n int) float64 {
	lists := [][]instance.Instance{instances(n), instances(n)[:n-1]}
	r := newRouter(lists[0], 20)
	calls := 0
	return nanoseconds(func() {
		calls++
		r.Choose(lists[calls%2], 1, nil, start)
	})
}

func membershipMemory(n int) float64 {
	return heapBytes(nil, func() any {
		v := membership.New()
		v.SetFleet(deploymentFleet(), start)
		v.SetInstances(instances(n), start)
		return v
	})
}

func membershipUsable(n int) float64 {
	v := membership.New()
	v.SetFleet(deploymentFleet(), start)
	v.SetInstances(instances(n), start)
	return nanoseconds(func() { v.Usable("lm-pool", start) })
}
