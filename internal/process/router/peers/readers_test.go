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

// Guards against routers with small links that distribute a large configuration to all.
func TestRoutersWithWidestLinksAreReaders(t *testing.T) {
	now := time.Now()
	routers := make([]*Peers, 28)
	for i := range routers {
		link := 10.0
		if i%7 == 3 {
			link = 200
		}
		routers[i] = New(Options{
			Address: fmt.Sprintf("router-%d:1", i), LinkMbps: link, Mirror: mirror.New(func([]mirror.Change, time.Time) {}),
			Prompts: promptblock.New(func(promptblock.Change) {}), Limits: noLimits(), Log: eventlog.Discard(), Scope: tally.NoopScope, Clock: func() time.Time { return now },
		})
	}
	gossip(routers, &now, 14)
	want := routers[0].readers()
	for _, r := range routers {
		require.Equal(t, want, r.readers())
	}
	for _, r := range want {
		require.InEpsilon(t, 200, r.LinkMbps, 1e-9)
	}
}

// Guards against a router without a known link, such as one of an earlier build, that is preferred to others.
func TestRouterWithUnknownLinkIsReaderOnlyAlone(t *testing.T) {
	p := New(Options{
		Address: "self:1", LinkMbps: 10, Mirror: mirror.New(func([]mirror.Change, time.Time) {}),
		Prompts: promptblock.New(func(promptblock.Change) {}), Limits: noLimits(), Log: eventlog.Discard(), Scope: tally.NoopScope, Clock: time.Now,
	})
	p.recordSender("a:1", message{Address: "a:1"})
	p.recordSender("b:1", message{Address: "b:1"})
	p.recordSender("c:1", message{Address: "c:1", LinkMbps: 200})
	require.Equal(t, []string{"c:1", "self:1"}, addresses(p.readers()))
}
