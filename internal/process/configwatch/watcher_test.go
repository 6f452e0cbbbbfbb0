package configwatch_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/flamingohold/flamingohold/internal/process/configwatch"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/bundle"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

// waitTimeout bounds the wait for an expected event. observationTime is how
// long a test checks that an event does not happen.
const (
	waitTimeout     = 30 * time.Second
	observationTime = 200 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newBundle returns a bundle of the version with one data centre and the
// accounts.
func newBundle(t *testing.T, version uint64, accounts ...string) *bundle.Bundle {
	f := fleet.Fleet{
		DataCentres: []fleet.DataCentre{{Name: "zg-a", Region: "hr-kont", State: fleet.StateInService}},
		Policy:      fleet.DefaultPolicy(),
	}
	var entries []account.Account
	for _, name := range accounts {
		entries = append(entries, account.Account{Name: name, KeySHA256: account.HashKey(name)})
	}
	b, err := bundle.Encode(version, f, nil, entries)
	require.NoError(t, err)
	return b
}

// process is a running watcher that serves its peers.
type process struct {
	*configwatch.Watcher
	address string
	log     *lockedBuffer
	mu      sync.Mutex
	// adopted lists the configurations in the order of their adoption.
	adopted []*configuration.Configuration
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// start runs a process with short intervals.
func start(t *testing.T, o configwatch.Options, prepare ...func(*configwatch.Watcher)) *process {
	return startWithDefaultIntervals(t, o, append([]func(*configwatch.Watcher){(*configwatch.Watcher).ShortenIntervals}, prepare...)...)
}

// startWithDefaultIntervals runs a process with the default intervals.
func startWithDefaultIntervals(t *testing.T, o configwatch.Options, prepare ...func(*configwatch.Watcher)) *process {
	p := &process{log: new(lockedBuffer)}
	p.Watcher = configwatch.New(o, eventlog.New(p.log, zerolog.DebugLevel, "test"))
	for _, f := range prepare {
		f(p.Watcher)
	}
	p.Subscribe(func(c *configuration.Configuration) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.adopted = append(p.adopted, c)
	})
	server := httptest.NewServer(p.Handler())
	p.address = strings.TrimPrefix(server.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = p.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		server.Close()
		p.requireOrder(t)
	})
	return p
}

// startWithService runs a process with a configuration service that has the bundle,
// and waits until that is in force.
func startWithService(t *testing.T, b *bundle.Bundle) (*fakeService, *process) {
	service := newFakeService(t)
	service.publish(t, b)
	p := start(t, configwatch.Options{ServiceAddress: service.address()})
	p.waitFor(t, b)
	return service, p
}

// waitForEvent waits until the process has logged the event.
func (p *process) waitForEvent(t *testing.T, number int) {
	require.Eventually(t, func() bool {
		return strings.Contains(p.log.String(), fmt.Sprintf(`"event":%d`, number))
	}, waitTimeout, time.Millisecond)
}

// requireOrder requires that each adopted version is newer than the previous
// one.
func (p *process) requireOrder(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := 1; i < len(p.adopted); i++ {
		require.True(t, p.adopted[i-1].OlderThan(p.adopted[i].Version, p.adopted[i].Hash))
	}
}

// waitFor waits until the bundle is in force.
func (p *process) waitFor(t *testing.T, b *bundle.Bundle) {
	require.Eventually(t, func() bool {
		c := p.Current()
		return c != nil && c.Hash == b.Manifest.Hash
	}, waitTimeout, time.Millisecond, "log: %s", p.log)
}

// requireUnchanged requires that the bundle stays in force for observationTime.
func (p *process) requireUnchanged(t *testing.T, b *bundle.Bundle) {
	require.Never(t, func() bool { return p.Current().Hash != b.Manifest.Hash }, observationTime, 5*time.Millisecond)
}

// Guards against a change that a gateway does not adopt although it watches the
// service.
func TestChangeIsAdopted(t *testing.T) {
	service := newFakeService(t)
	service.publish(t, newBundle(t, 1, "a"))
	gateway := start(t, configwatch.Options{ServiceAddress: service.address()})
	gateway.waitFor(t, newBundle(t, 1, "a"))
	second := newBundle(t, 2, "a", "b")
	service.publish(t, second)
	gateway.waitFor(t, second)
}

// Guards against a return to an earlier version when the service returns an
// older version than before, fails, and returns an even older one after it
// recovers.
func TestOlderVersionOfServiceIsIgnored(t *testing.T) {
	newer := newBundle(t, 7, "a")
	service, gateway := startWithService(t, newer)
	service.publish(t, newBundle(t, 6, "b"))
	gateway.waitForEvent(t, 4002)
	service.setDown(true)
	gateway.waitForEvent(t, 4003)
	service.publish(t, newBundle(t, 5, "c"))
	service.setDown(false)
	gateway.waitForEvent(t, 4004)
	gateway.requireUnchanged(t, newer)
}

// Guards against adopting a faulty bundle, and against a faulty bundle that
// prevents the adoption of the next correct one.
func TestFaultyBundleIsRefusedAndNextAdopted(t *testing.T) {
	first, second, third := newBundle(t, 1, "a"), newBundle(t, 2, "a", "b"), newBundle(t, 3, "c")
	chunk := "flamingohold/chunks/" + second.Manifest.Chunks[1].SHA256
	faults := map[string]func(map[string][]byte){
		"corrupt chunk":      func(v map[string][]byte) { v[chunk] = bytes.ToUpper(v[chunk]) },
		"truncated chunk":    func(v map[string][]byte) { v[chunk] = v[chunk][:9] },
		"too large chunk":    func(v map[string][]byte) { v[chunk] = make([]byte, manifest.MaxValueBytes+1) },
		"missing chunk":      func(v map[string][]byte) { delete(v, chunk) },
		"truncated manifest": func(v map[string][]byte) { v["flamingohold/manifest"] = v["flamingohold/manifest"][:40] },
		"too large manifest": func(v map[string][]byte) {
			v["flamingohold/manifest"] = append(v["flamingohold/manifest"], make([]byte, manifest.MaxValueBytes)...)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			service, gateway := startWithService(t, first)
			service.publish(t, second, fault)
			gateway.waitForEvent(t, 4001)
			require.Equal(t, first.Manifest.Hash, gateway.Current().Hash)
			service.publish(t, third)
			gateway.waitFor(t, third)
		})
	}
}

// Guards against a bundle that is not adopted when its last chunk is published
// after its manifest, which does not change again.
func TestIncompleteBundleIsAdoptedOnceComplete(t *testing.T) {
	service := newFakeService(t)
	b := newBundle(t, 2, "a")
	key := "flamingohold/chunks/" + b.Manifest.Chunks[1].SHA256
	service.publish(t, b, func(v map[string][]byte) { delete(v, key) })
	gateway := start(t, configwatch.Options{ServiceAddress: service.address()})
	gateway.waitForEvent(t, 4001)
	service.mu.Lock()
	service.values[key] = b.Chunks[b.Manifest.Chunks[1].SHA256]
	service.mu.Unlock()
	gateway.waitFor(t, b)
}

// Guards against a restarted process that adopts the version of a stale service
// although its peers have a later one.
func TestRestartedProcessQueriesPeersBeforeService(t *testing.T) {
	newer := newBundle(t, 9, "a")
	_, peer := startWithService(t, newer)
	stale := newFakeService(t)
	stale.publish(t, newBundle(t, 3, "b"))
	restarted := start(t, configwatch.Options{ServiceAddress: stale.address(), PeerAddresses: []string{"127.0.0.1:1", peer.address}},
		(*configwatch.Watcher).DisablePeerPolling)
	restarted.waitFor(t, newer)
	restarted.mu.Lock()
	defer restarted.mu.Unlock()
	require.Len(t, restarted.adopted, 1)
}

// Guards against a new process that cannot serve while the service is down, and
// against one that does not recover if its peers get a configuration after it
// has started.
func TestProcessStartsFromPeersWhileServiceIsDown(t *testing.T) {
	down := newFakeService(t)
	down.setDown(true)
	service := newFakeService(t)
	gateway := start(t, configwatch.Options{ServiceAddress: service.address()})
	started := start(t, configwatch.Options{ServiceAddress: down.address(), PeerAddresses: []string{gateway.address}})
	b := newBundle(t, 1, "a")
	service.publish(t, b)
	started.waitFor(t, b)
}

// Guards against processes that disagree permanently after two operators have
// published different bundles under the same version number.
func TestEqualVersionsConvergeThroughPeers(t *testing.T) {
	firstService, secondService := newFakeService(t), newFakeService(t)
	first, second := newBundle(t, 4, "a"), newBundle(t, 4, "b")
	if first.Manifest.Hash > second.Manifest.Hash {
		first, second = second, first
	}
	firstService.publish(t, first)
	peer := start(t, configwatch.Options{ServiceAddress: secondService.address()})
	watching := start(t, configwatch.Options{ServiceAddress: firstService.address(), PeerAddresses: []string{peer.address}})
	watching.waitFor(t, first)
	secondService.publish(t, second)
	watching.waitFor(t, second)
	watching.requireUnchanged(t, second)
}

// Guards against a sidecar that does not adopt a version announced in a
// gateway's message, and against an announcement of a version that no peer can
// serve.
func TestSidecarAdoptsAnnouncedVersion(t *testing.T) {
	b := newBundle(t, 3, "a")
	_, gateway := startWithService(t, b)
	sidecar := start(t, configwatch.Options{})
	sidecar.ObserveVersion(8, "", "127.0.0.1:1")
	require.Eventually(t, func() bool {
		sidecar.ObserveVersion(3, b.Manifest.Hash, gateway.address)
		return sidecar.Current() != nil
	}, waitTimeout, time.Millisecond)
	sidecar.waitFor(t, b)
}

// Guards against a watch without a timeout on a connection that no longer
// responds while new connections work.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	service := newFakeService(t)
	first, second := newBundle(t, 1, "a"), newBundle(t, 2, "b")
	service.publish(t, first)
	gateway := start(t, configwatch.Options{ServiceAddress: service.address()}, (*configwatch.Watcher).ShortenServiceTimeouts)
	gateway.waitFor(t, first)
	service.stopResponding()
	service.publish(t, second)
	gateway.waitFor(t, second)
}

// Guards against a sidecar that receives no changes after all gateways in its
// settings have been replaced.
func TestSidecarPollsGatewaysThatSentMessages(t *testing.T) {
	first, second := newBundle(t, 1, "a"), newBundle(t, 2, "b")
	service, gateway := startWithService(t, first)
	sidecar := start(t, configwatch.Options{PeerAddresses: []string{"127.0.0.1:1"}})
	sidecar.ObserveVersion(1, first.Manifest.Hash, gateway.address)
	sidecar.waitFor(t, first)
	service.publish(t, second)
	sidecar.waitFor(t, second)
}

// Guards against chunks that peers read uncompressed, which exceeds the
// bandwidth budget for control traffic, and against chunks that the compression
// changes.
func TestPeersReadCompressedChunks(t *testing.T) {
	service := newFakeService(t)
	var accounts []string
	for i := range 1000 {
		accounts = append(accounts, fmt.Sprintf("account-%d", i))
	}
	b := newBundle(t, 1, accounts...)
	service.publish(t, b)
	gateway := start(t, configwatch.Options{ServiceAddress: service.address()})
	gateway.waitFor(t, b)
	for _, c := range b.Manifest.Chunks[1:] {
		request := httptest.NewRequest(http.MethodGet, "/v1/configuration/chunks/"+c.SHA256, nil)
		plain := httptest.NewRecorder()
		gateway.Handler().ServeHTTP(plain, request)
		require.Equal(t, b.Chunks[c.SHA256], plain.Body.Bytes())
		request.Header.Set("Accept-Encoding", "gzip")
		compressed := httptest.NewRecorder()
		gateway.Handler().ServeHTTP(compressed, request)
		t.Logf("%d bytes, compressed %d", plain.Body.Len(), compressed.Body.Len())
		require.Less(t, compressed.Body.Len(), plain.Body.Len()/2)
	}
	sidecar := start(t, configwatch.Options{PeerAddresses: []string{gateway.address}})
	sidecar.waitFor(t, b)
}

// Guards against more reads than the service can serve: 370 gateways that all
// restart or read a change at once must stay within 2,000 reads a second.
func TestReadRateIsBounded(t *testing.T) {
	times := configwatch.ReadTimes(time.Unix(0, 0), 200)
	for i, first := range times {
		within := 0
		for _, later := range times[i:] {
			if later.Sub(first) < time.Second {
				within++
			}
		}
		require.LessOrEqual(t, within*370, 2000)
	}
}

// Guards against reads of unchanged chunks, and against a watch that polls:
// while nothing changes, a process has one blocking call.
func TestChangeReadsOnlyChangedChunks(t *testing.T) {
	first := newBundle(t, 1, "a")
	service, gateway := startWithService(t, first)
	reads := func() (all, chunks int) {
		service.mu.Lock()
		defer service.mu.Unlock()
		return service.reads, service.chunkReads
	}
	// The manifest, the fleet chunk, the accounts chunk, and the blocking watch.
	require.Eventually(t, func() bool { all, _ := reads(); return all == 4 }, waitTimeout, time.Millisecond)
	require.Never(t, func() bool { all, _ := reads(); return all > 4 }, observationTime, 5*time.Millisecond)
	second := newBundle(t, 2, "a", "b")
	service.publish(t, second)
	gateway.waitFor(t, second)
	_, chunks := reads()
	require.Equal(t, 3, chunks)
}

// Guards against intervals that miss the target of 14 s until a change is in
// force in all processes: gateways that read 13,000 accounts, and idle sidecars
// that receive no messages and two of whose four gateways are down.
func TestChangeIsInForceInAllProcessesWithinTarget(t *testing.T) {
	const target = 14 * time.Second
	service := newFakeService(t)
	var accounts []string
	for i := range 13_000 {
		accounts = append(accounts, fmt.Sprintf("account-%d", i))
	}
	first := newBundle(t, 1, accounts...)
	service.publish(t, first)
	peers := []string{"127.0.0.1:1", "127.0.0.1:2"}
	var all []*process
	for range 2 {
		gateway := startWithDefaultIntervals(t, configwatch.Options{ServiceAddress: service.address(), PeerAddresses: peers})
		peers = append(peers, gateway.address)
		all = append(all, gateway)
	}
	for range 12 {
		all = append(all, startWithDefaultIntervals(t, configwatch.Options{PeerAddresses: peers}))
	}
	for _, p := range all {
		p.waitFor(t, first)
	}
	second := newBundle(t, 2, accounts[1:]...)
	service.publish(t, second)
	published := time.Now()
	for _, p := range all {
		p.waitFor(t, second)
	}
	t.Logf("in force in all processes after %v", time.Since(published))
	require.Less(t, time.Since(published), target)
}
