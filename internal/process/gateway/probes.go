package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
)

const (
	// probeInterval is the time between two looks at the instances, and probeAge
	// the age of a report above which its instance is asked. 30 instances of a
	// subset then cost 6 calls a second at most, and none under load.
	probeInterval = time.Second
	probeAge      = 5 * time.Second
	// maxProbes bounds the calls at once.
	maxProbes = 8
)

// probeLoop asks the instances that this gateway uses for their state while no
// other message brings it.
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

func (g *Gateway) probe(ctx context.Context, c *configuration.Configuration) {
	var group sync.WaitGroup
	places := make(chan struct{}, maxProbes)
	used := make(map[string]bool)
	for i := range c.Services {
		for _, target := range g.subset(c.Services[i].Name) {
			used[target.Name] = true
			if age, known := g.bindings.age(target.Name, g.clock()); known && age < probeAge {
				continue
			}
			places <- struct{}{}
			group.Go(func() {
				defer func() { <-places }()
				g.inquire(ctx, target)
			})
		}
	}
	group.Wait()
	g.bindings.retain(used)
}

// subset returns the instances of the service that this gateway prefers.
func (g *Gateway) subset(service string) []instance.Instance {
	now := g.clock()
	var targets []instance.Instance
	for _, name := range g.router.Subset(g.members.Usable(service, now), now) {
		if i, ok := g.members.Lookup(name); ok {
			targets = append(targets, i)
		}
	}
	return targets
}

// inquire asks the instance for its state and returns its incarnation, "" if it
// does not answer.
func (g *Gateway) inquire(ctx context.Context, i instance.Instance) string {
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
