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
	// probeInterval is the time between two looks at the instances, and probeAge
	// the age of a report above which its instance is asked. 30 instances of a
	// subset then cost 6 calls a second at most, and none under load.
	probeInterval = time.Second
	probeAge      = 5 * time.Second
	// maxProbes bounds the calls at once, and maxUnused the unusable instances
	// that are asked at a time.
	maxProbes = 8
	maxUnused = 8
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
	for _, target := range g.probed(c) {
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
	group.Wait()
	g.bindings.retain(used)
}

// probed returns the instances whose state this gateway needs: those that it
// prefers, and some of those that may work but are not used, because nothing
// else would tell that they are back.
func (g *Gateway) probed(c *configuration.Configuration) []instance.Instance {
	now := g.clock()
	usable := make(map[string]bool)
	var targets []instance.Instance
	for i := range c.Services {
		candidates := g.members.Usable(c.Services[i].Name, now)
		for _, u := range candidates {
			usable[u.Name] = true
		}
		for _, name := range g.router.Subset(candidates, now) {
			if preferred, ok := g.members.Lookup(name); ok {
				targets = append(targets, preferred)
			}
		}
	}
	return append(targets, g.unused(c, usable)...)
}

// unused returns up to maxUnused live instances in data centres in service that
// are not usable, at random.
func (g *Gateway) unused(c *configuration.Configuration, usable map[string]bool) []instance.Instance {
	listed := g.listed.Load()
	if listed == nil {
		return nil
	}
	var unused []instance.Instance
	for _, i := range *listed {
		if i.State == instance.StateLive && c.Fleet.InService(i.DataCentre) && !usable[i.Name] {
			unused = append(unused, i)
		}
	}
	rand.Shuffle(len(unused), func(a, b int) { unused[a], unused[b] = unused[b], unused[a] })
	return unused[:min(len(unused), maxUnused)]
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
