package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
		routers[i] = newRouter(Options{Address: fmt.Sprintf("router-%d:1", i), LinkMbps: link, Clock: func() time.Time { return now }})
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
	p := newRouter(Options{Address: "self:1", LinkMbps: 10})
	p.recordSender("a:1", message{Address: "a:1"})
	p.recordSender("b:1", message{Address: "b:1"})
	p.recordSender("c:1", message{Address: "c:1", LinkMbps: 200})
	require.Equal(t, []string{"c:1", "self:1"}, addresses(p.readers()))
}
