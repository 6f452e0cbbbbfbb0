package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
)

// newRouter returns a router with the options. The mirror does nothing with changes
// and the clock is time.Now unless the options have others.
func newRouter(o Options) *Peers {
	if o.Mirror == nil {
		o.Mirror = mirror.New(func([]mirror.Change, time.Time) {})
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	o.Prompts, o.Limits = promptblock.New(func(promptblock.Change) {}), noLimits()
	o.Log, o.Scope = eventlog.Discard(), tally.NoopScope
	return New(o)
}

// Guards against routers that all hold their requests at the two readers: with 370 routers
// each of these would answer 370 requests a second.
func TestSourcesFormATree(t *testing.T) {
	for _, c := range []struct{ routers, depth int }{{3, 1}, {14, 1}, {15, 2}, {68, 2}, {86, 2}, {370, 3}, {1400, 4}} {
		depth := make([]int, c.routers)
		followers := make([][2]int, c.routers)
		deepest := 0
		for position := readerCount; position < c.routers; position++ {
			two := sources(position)
			require.NotEqual(t, two[0], two[1])
			for i, source := range two {
				require.Less(t, source, position)
				followers[source][i]++
				depth[position] = max(depth[position], depth[source]+1)
			}
			deepest = max(deepest, depth[position])
		}
		require.Equal(t, c.depth, deepest, c.routers)
		for _, n := range followers {
			require.LessOrEqual(t, n[0], fanout)
			require.LessOrEqual(t, n[1], fanout)
		}
	}
}

// Guards against a router that keeps asking sources that are gone.
func TestRouterTurnsToAReaderAfterFailures(t *testing.T) {
	nodes := make([]reader, 0, 40)
	p := newRouter(Options{Address: "10.0.0.200:1"})
	for i := range 40 {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		nodes = append(nodes, reader{address, 100})
		p.recordContact(address, 1)
	}
	p.setLinks(nodes)
	readers := addresses(p.readers())
	require.NotContains(t, readers, p.self)
	require.NotContains(t, readers, p.source(0, 0))
	require.NotContains(t, readers, p.source(1, 1))
	require.NotEqual(t, p.source(0, 0), p.source(1, 0))
	require.Contains(t, readers, p.source(0, maxSourceFailures))
}

// Guards against a router far from the readers that takes the store for lost, since each
// answer of the store reaches it late.
func TestContactWakesWaitingRouters(t *testing.T) {
	p := newRouter(Options{Address: "10.0.0.1:1"})
	woken := make(chan time.Duration, 1)
	for _, contact := range []func(){
		func() { p.mirror.RecordContact(time.Now()) },
		func() { p.recordStoreContact(mirror.Position{}, time.Now()) },
	} {
		begin := time.Now()
		go func() {
			p.awaitChange(t.Context(), message{WaitMillis: longPollWait.Milliseconds()})
			woken <- time.Since(begin)
		}()
		time.Sleep(50 * time.Millisecond)
		contact()
		require.Less(t, <-woken, longPollWait/2)
	}
}
