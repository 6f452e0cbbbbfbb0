package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
)

const (
	// probeInterval is the time between two probe rounds. An instance is probed
	// if its last report is older than maxReportAge. A subset of 30 instances
	// then causes at most 6 calls a second, and none under load.
	probeInterval = time.Second
	maxReportAge  = 5 * time.Second
	// maxConcurrentProbes bounds the concurrent calls, and maxUnusableProbes the
	// unusable instances that are probed in one round.
	maxConcurrentProbes = 8
	maxUnusableProbes   = 8
)

// probeLoop runs a probe round every probeInterval until the context is cancelled.
func (g *Gateway) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		if c := g.configurations.Current(); c != nil {
			g.probe(ctx, c)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe fetches the state of each probe target from which no other message has
// carried a recent report.
func (g *Gateway) probe(ctx context.Context, c *configuration.Configuration) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentProbes)
	targetNames := make(map[string]bool)
	for _, target := range g.probeTargets(c) {
		targetNames[target.Name] = true
		if age, known := g.bindings.age(target.Name, g.clock()); known && age < maxReportAge {
			continue
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			g.fetchState(ctx, target)
		})
	}
	group.Wait()
	g.bindings.retain(targetNames)
}

// probeTargets returns the instances whose state this gateway needs: the subsets
// that it routes to, and some of the unusable instances, because these receive no
// requests and only a probe can show that they have recovered.
func (g *Gateway) probeTargets(c *configuration.Configuration) []instance.Instance {
	now := g.clock()
	usable := make(map[string]bool)
	var targets []instance.Instance
	for i := range c.Services {
		candidates := g.members.Usable(c.Services[i].Name, now)
		for _, candidate := range candidates {
			usable[candidate.Name] = true
		}
		for _, name := range g.router.Subset(candidates, now) {
			if target, ok := g.members.Lookup(name); ok {
				targets = append(targets, target)
			}
		}
	}
	return append(targets, g.unusableInstances(c, usable)...)
}

// unusableInstances returns up to maxUnusableProbes instances at random that are
// live and in a data centre in service, but not usable.
func (g *Gateway) unusableInstances(c *configuration.Configuration, usable map[string]bool) []instance.Instance {
	instances := g.listedInstances.Load()
	if instances == nil {
		return nil
	}
	var unusable []instance.Instance
	for _, i := range *instances {
		if i.State == instance.StateLive && c.Fleet.InService(i.DataCentre) && !usable[i.Name] {
			unusable = append(unusable, i)
		}
	}
	rand.Shuffle(len(unusable), func(a, b int) { unusable[a], unusable[b] = unusable[b], unusable[a] })
	return unusable[:min(len(unusable), maxUnusableProbes)]
}

// fetchState requests the instance's state, records it and returns the reported
// incarnation, or "" if the request fails.
func (g *Gateway) fetchState(ctx context.Context, i instance.Instance) string {
	report, err := g.links.State(ctx, i.SidecarAddress)
	if ctx.Err() != nil {
		return ""
	}
	if err != nil || report.Instance != i.Name {
		g.members.ObserveFailure(i.Name, g.clock())
		return ""
	}
	g.observe(i, report)
	return report.Incarnation
}
