package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
)

// node is the mirror, the peers and the server of one router.
type node struct {
	peers  *Peers
	mirror *mirror.Mirror
	server *http.Server
}

// listen opens sockets on free ports.
func listen(t *testing.T, count int) []net.Listener {
	t.Helper()
	sockets := make([]net.Listener, count)
	for i := range sockets {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		sockets[i] = socket
	}
	return sockets
}

// startNodes starts routers that know only the first router as a live seed.
func startNodes(t *testing.T, count int) []*node {
	t.Helper()
	nodes := make([]*node, count)
	sockets := listen(t, count)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range nodes {
		m := mirror.New(func([]mirror.Change, time.Time) {})
		pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now)
		seeds := []string{sockets[0].Addr().String(), "127.0.0.1:1"}
		p := newRouter(Options{Address: sockets[i].Addr().String(), Seeds: seeds, Mirror: m, Pool: pool})
		server := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
		nodes[i] = &node{peers: p, mirror: m, server: server}
		running.Go(func() { _ = server.Serve(sockets[i]) })
		running.Go(func() { p.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		for _, n := range nodes {
			_ = n.server.Close()
		}
		running.Wait()
	})
	return nodes
}

func item(revision int64) mirror.Batch {
	return mirror.Batch{Items: []mirror.Item{{Key: "config", Value: []byte("{}"), Revision: revision}}, Revision: revision}
}

// simulateStore acts as a store that answers the nodes that query it.
func simulateStore(t *testing.T, nodes []*node) {
	t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				for _, n := range nodes {
					if n.peers.MustQueryStore() {
						n.mirror.RecordContact(now)
					}
				}
			}
		}
	}()
	t.Cleanup(func() { ticker.Stop(); close(done) })
}

// Guards against routers that do not discover each other with one live seed, and
// against a store that is queried by all routers or by none.
func TestRoutersDiscoverEachOtherAndOnlyReadersQueryStore(t *testing.T) {
	nodes := startNodes(t, 5)
	simulateStore(t, nodes)
	require.Eventually(t, func() bool {
		querying := 0
		for _, n := range nodes {
			if n.peers.Count() != len(nodes) {
				return false
			}
			if n.peers.MustQueryStore() {
				querying++
			}
		}
		return querying == readerCount
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against a change that reaches only the routers that the store answers.
func TestChangeReachesAllRouters(t *testing.T) {
	nodes := startNodes(t, 4)
	simulateStore(t, nodes)
	reader := func() *node {
		for _, n := range nodes {
			if n.peers.Count() == len(nodes) && n.peers.MustQueryStore() {
				return n
			}
		}
		return nil
	}
	require.Eventually(t, func() bool { return reader() != nil }, 10*time.Second, 20*time.Millisecond)
	reader().mirror.Apply(item(7), time.Now())
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if held, _ := n.mirror.Position(); held.Revision != 7 {
				return false
			}
		}
		return true
	}, 3*time.Second, 5*time.Millisecond)
}

// Guards against a router that relies on readers which have lost contact with
// the store.
func TestRouterQueriesStoreOnceReadersLoseContact(t *testing.T) {
	p := newRouter(Options{Address: "self:1"})
	require.True(t, p.MustQueryStore(), "a router without peers queries the store")
	p.mirror.Apply(item(1), time.Now())
	p.recordStoreContact(mirror.Position{Revision: 1}, time.Now())
	require.False(t, p.storeLost())
	p.clock = func() time.Time { return time.Now().Add(storeContactTimeout + time.Millisecond) }
	require.True(t, p.storeLost())
}

// Guards against sending callers to another router which is stopping as well.
func TestTimeUntilAvailableWithStoppingPeers(t *testing.T) {
	now := time.Now()
	p := newRouter(Options{Address: "self:1", Clock: func() time.Time { return now }})
	p.ownStopTime = now.Add(7 * time.Second)
	p.recordContact("a:1", 0)
	p.recordContact("b:1", 0)
	require.Zero(t, p.TimeUntilAvailable(now))
	p.recordStop(message{Address: "a:1", StopsInMillis: 3000})
	require.Zero(t, p.TimeUntilAvailable(now), "b is not stopping")
	p.recordStop(message{Address: "b:1", StopsInMillis: 5000})
	require.Equal(t, 3*time.Second+restartTime, p.TimeUntilAvailable(now))
	p.recordStop(message{Address: "a:1"})
	require.Zero(t, p.TimeUntilAvailable(now), "a has restarted")
}

// Guards against counting the store contact of a peer whose items this router
// lacks.
func TestStoreContactCountsOnlyWithPeersItems(t *testing.T) {
	p := newRouter(Options{Address: "self:1"})
	p.recordStoreContact(mirror.Position{Revision: 5}, time.Now())
	require.True(t, p.storeLost())
}

// gossip lets each router exchange messages with one other in each of the rounds,
// 1 s apart.
func gossip(routers []*Peers, now *time.Time, rounds int) {
	for range rounds {
		*now = now.Add(gossipInterval)
		for i, r := range routers {
			other := routers[(i+1+rand.IntN(len(routers)-1))%len(routers)]
			request, reply := r.message(mirror.Position{}), other.message(mirror.Position{})
			r.addNames(&request, true)
			other.recordSender(r.self, request)
			other.addNames(&reply, true)
			r.recordSender(other.self, reply)
			r.removeLost()
		}
	}
}

// Guards against a router that has gone and is named by the others in turns, so that none forgets it.
func TestLostRouterIsForgottenByAll(t *testing.T) {
	now := time.Now()
	routers := make([]*Peers, 370)
	for i := range routers {
		routers[i] = newRouter(Options{Address: fmt.Sprintf("10.0.%d.%d:8748", i/40, 10+i%40), Clock: func() time.Time { return now }})
		routers[i].recordContact("10.0.9.9:8748", 7)
		routers[i].addNamed(message{Peers: []string{"10.0.0.10:8748"}})
		now = now.Add(peerTimeout / 370)
	}
	gossip(routers, &now, 20)
	m := routers[0].message(mirror.Position{})
	routers[0].addNames(&m, true)
	encoded, err := json.Marshal(m)
	require.NoError(t, err)
	t.Logf("a message that names %d routers has %d bytes", len(m.named()), len(encoded))
	for _, r := range routers {
		require.NotContains(t, r.alive(), "10.0.9.9:8748")
		require.Equal(t, len(routers), r.Count())
	}
	require.Less(t, len(encoded), maxNamesBytes)
}

// maxNamesBytes bounds a message that names 370 routers. A router sends and receives two
// a second, which may take half of the 20 kB a second that control may take.
const maxNamesBytes = 20_000 / 2 / 4

// Guards against routers that hear each other late and tell each other an old state of the store as a recent one.
func TestTimesOfTheStoreDoNotGrowYounger(t *testing.T) {
	const delay = 400 * time.Millisecond
	now := time.Now()
	routers := make([]*Peers, 2)
	for i := range routers {
		routers[i] = newRouter(Options{Address: fmt.Sprintf("router-%d:1", i), Clock: func() time.Time { return now }})
	}
	routers[0].mirror.RecordContact(now)
	for round := range 20 {
		asking, asked := routers[round%2], routers[(round+1)%2]
		start := now
		reply := asked.message(mirror.Position{})
		now = now.Add(delay)
		asking.recordStore(reply, start)
	}
	for _, r := range routers {
		require.True(t, r.storeLost())
	}
}

// Guards against a router that takes seconds to find the others, since some of its seeds are gone.
func TestRouterThatKnowsNoOtherAsksItsSeedsOften(t *testing.T) {
	p := newRouter(Options{Address: "self:1", Seeds: []string{"seed:1", "gone:1"}})
	p.mirror.RecordContact(time.Now())
	require.Equal(t, fastGossipInterval, p.interval())
	p.recordContact("seed:1", 1)
	require.Equal(t, gossipInterval, p.interval())
}

// Guards against routers that take the state from before the store was restored for the newer one, because its revision is higher.
func TestRestoredStateReachesRoutersWithAHigherRevision(t *testing.T) {
	nodes := startNodes(t, 4)
	simulateStore(t, nodes)
	batch := func(era, revision int64, value string) mirror.Batch {
		items := []mirror.Item{{Key: "config", Value: []byte(value), Revision: revision}}
		return mirror.Batch{Era: era, Items: items, Revision: revision, Full: true}
	}
	nodes[1].mirror.Apply(batch(1, 22, "earlier"), time.Now())
	holdsAll := func(value string) func() bool {
		return func() bool {
			for _, n := range nodes {
				items := n.mirror.Since(mirror.Position{}).Items
				if len(items) != 1 || string(items[0].Value) != value {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, holdsAll("earlier"), 10*time.Second, 5*time.Millisecond)
	nodes[2].mirror.Apply(batch(2, 21, "restored"), time.Now())
	require.Eventually(t, holdsAll("restored"), 3*time.Second, 5*time.Millisecond)
}
