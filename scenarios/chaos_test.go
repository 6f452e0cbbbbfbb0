package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	defaultChaosSeed     = 1
	defaultChaosDuration = 20 * time.Second
	chaosCallers         = 12
	chaosOrderCallers    = 6
	maxChaosTokens       = 400
	// maxFaultDuration is the longest duration of a fault that is undone. It exceeds
	// the heartbeat timeout of 3 s.
	maxFaultDuration = 5 * time.Second
	// maxFaultPause is the longest time between two faults.
	maxFaultPause = 1500 * time.Millisecond
	// orderDelay is how long the plain service takes for an order, so that faults
	// occur while orders run.
	orderDelay = "300ms"
)

// chaos is one run of the test: callers and faults on a cluster.
type chaos struct {
	t       *testing.T
	cluster *cluster
	stop    chan struct{}

	mu          sync.Mutex
	completions []*call
	// orders maps idempotency keys to the calls.
	orders map[string]*call
	// faults counts the injected faults by name.
	faults map[string]int
}

// Guards the guarantees under a seeded random sequence of faults: no token is
// lost, duplicated or from another generation, no incomplete answer ends as if it
// were complete, no order runs twice, and no order with the outcome not_run has
// run. CHAOS_SEED sets the seed, and CHAOS_SECONDS the duration.
func TestChaos(t *testing.T) {
	seed, duration := chaosParameters(t)
	c := new(cluster)
	c.initialise(t.TempDir(), clusterOptions{gateways: 3, engines: 3, plain: 3, slowdown: 1, plainDelay: orderDelay})
	defer c.close()
	defer saveLogs(t, c)
	require.NoError(t, c.start())
	h := &chaos{t: t, cluster: c, stop: make(chan struct{}), orders: make(map[string]*call), faults: make(map[string]int)}
	var callers sync.WaitGroup
	for n := range chaosCallers {
		callers.Go(func() { h.sendCompletions(rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	for n := range chaosOrderCallers {
		callers.Go(func() { h.sendOrders(rand.New(rand.NewPCG(seed, uint64(100+n)))) })
	}
	h.inject(rand.New(rand.NewPCG(seed, 1000)), duration)
	close(h.stop)
	callers.Wait()
	t.Logf("seed %d, duration %s, injected faults %v", seed, duration, h.faults)
	h.checkAnswers()
	h.checkOrders()
}

func chaosParameters(t *testing.T) (uint64, time.Duration) {
	seed, duration := uint64(defaultChaosSeed), defaultChaosDuration
	if text := os.Getenv("CHAOS_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seed = n
	}
	if text := os.Getenv("CHAOS_SECONDS"); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		duration = time.Duration(n) * time.Second
	}
	return seed, duration
}

func (h *chaos) stopped() bool {
	select {
	case <-h.stop:
		return true
	default:
		return false
	}
}

// gateways returns the names of all gateways in a random order, separated by
// commas, so that a caller reconnects through another gateway.
func (h *chaos) gateways(random *rand.Rand) string {
	names := []string{"gateway-1", "gateway-2", "gateway-3"}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return strings.Join(names, ",")
}

// sendCompletions sends completions one after another until the run ends.
func (h *chaos) sendCompletions(random *rand.Rand) {
	for !h.stopped() {
		c := h.cluster.newCall(h.gateways(random), "key-bakery")
		c.wantTokens = 1 + random.IntN(maxChaosTokens)
		c.resume = true
		if err := c.setCompletion("quote "+uuid.NewString(), c.wantTokens, true); err != nil {
			h.t.Error(err)
			return
		}
		c.start()
		<-c.ended
		h.mu.Lock()
		h.completions = append(h.completions, c)
		h.mu.Unlock()
	}
}

// sendOrders sends orders with minted keys. It retries each through other gateways
// until it receives a response or callTimeout has passed.
func (h *chaos) sendOrders(random *rand.Rand) {
	for !h.stopped() {
		key, ok := h.mintKey(random)
		if !ok {
			time.Sleep(resumeDelay)
			continue
		}
		c := h.cluster.newCall(h.gateways(random), "key-bakery")
		c.method, c.path, c.body = http.MethodPost, "/hire/bookings", []byte(`{"stand":"tall gold"}`)
		c.header.Set("Idempotency-Key", key)
		c.resume = true
		c.start()
		<-c.ended
		h.mu.Lock()
		h.orders[key] = c
		h.mu.Unlock()
	}
}

// mintKey requests a new order key, and returns false if that failed.
func (h *chaos) mintKey(random *rand.Rand) (string, bool) {
	gateway, _, _ := strings.Cut(h.gateways(random), ",")
	client := &http.Client{Timeout: maxFaultDuration, Transport: &http.Transport{DisableKeepAlives: true}}
	key, err := h.cluster.mintKey(client, gateway)
	return key, err == nil
}

// fault is one kind of fault. Most kinds are undone before inject returns; cut and
// silenced connections and cold engines are not: the processes open new connections,
// and the engines warm up.
type fault struct {
	name   string
	inject func(random *rand.Rand) error
}

func (h *chaos) faultKinds() []fault {
	return []fault{
		{"link_cut", func(r *rand.Rand) error { h.link(r).Cut(); return nil }},
		{"link_silent", func(r *rand.Rand) error { h.link(r).Silence(); return nil }},
		{"link_refused", h.refuseLink},
		{"gateway_killed", func(r *rand.Rand) error { return h.restart(h.gateway(r), syscall.SIGKILL) }},
		{"gateway_stopped", func(r *rand.Rand) error { return h.restart(h.gateway(r), syscall.SIGTERM) }},
		{"gateway_frozen", func(r *rand.Rand) error { return h.freeze(h.gateway(r), r) }},
		{"sidecar_killed", func(r *rand.Rand) error { return h.restart(h.instance(r), syscall.SIGKILL) }},
		{"sidecar_stopped", func(r *rand.Rand) error { return h.restart(h.instance(r), syscall.SIGTERM) }},
		{"sidecar_frozen", func(r *rand.Rand) error { return h.freeze(h.instance(r), r) }},
		{"engine_killed", func(r *rand.Rand) error { return h.restart("upstream-"+h.engine(r), syscall.SIGKILL) }},
		{"engine_cold", h.makeEngineCold},
		{"engine_streams_broken", h.breakEngineStreams},
		{"data_centre_moved", h.withdrawDataCentre},
		{"configuration_service", h.breakConfigurationService},
	}
}

func (h *chaos) inject(random *rand.Rand, duration time.Duration) {
	kinds := h.faultKinds()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f := kinds[random.IntN(len(kinds))]
		require.NoError(h.t, f.inject(random), f.name)
		h.faults[f.name]++
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultPause))))
	}
}

func (h *chaos) gateway(r *rand.Rand) string { return fmt.Sprintf("gateway-%d", 1+r.IntN(3)) }

func (h *chaos) engine(r *rand.Rand) string {
	return fmt.Sprintf("%s-%d", engineService, 1+r.IntN(3))
}

func (h *chaos) instance(r *rand.Rand) string {
	return h.cluster.instances[r.IntN(len(h.cluster.instances))].Name
}

// faultyLink is a relay that can disturb the connections through it.
type faultyLink interface {
	Cut() int
	Silence() int
	SetRefusing(bool)
}

// link returns the link to the sidecar of a random instance, or for an engine
// in one of three cases the link from its sidecar to the engine.
func (h *chaos) link(r *rand.Rand) faultyLink {
	name := h.instance(r)
	if r.IntN(3) == 0 && strings.HasPrefix(name, engineService) {
		name = "upstream-" + name
	}
	return h.cluster.relays[name]
}

func (h *chaos) refuseLink(r *rand.Rand) error {
	l := h.link(r)
	l.SetRefusing(true)
	l.Cut()
	time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration))))
	l.SetRefusing(false)
	return nil
}

// restart ends a process with the signal, starts it again and waits until it is
// ready.
func (h *chaos) restart(name string, s syscall.Signal) error {
	p := h.cluster.processes[name]
	if err := p.signal(s); err != nil {
		return err
	}
	if err := p.awaitExit(); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	return p.awaitProbe()
}

func (h *chaos) freeze(name string, r *rand.Rand) error {
	p := h.cluster.processes[name]
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration))))
	return p.signal(syscall.SIGCONT)
}

func (h *chaos) makeEngineCold(r *rand.Rand) error {
	url := "http://" + h.cluster.address(h.engine(r), "upstream") + "/admin/fault"
	return sendJSON(http.MethodPost, url, map[string]bool{"cold": true})
}

// breakEngineStreams lets an engine put errors in place of tokens in some streams.
func (h *chaos) breakEngineStreams(r *rand.Rand) error {
	url := "http://" + h.cluster.address(h.engine(r), "upstream") + "/admin/fault"
	return sendJSON(http.MethodPost, url, map[string]int{"stream_errors": 1 + r.IntN(5)})
}

func (h *chaos) withdrawDataCentre(r *rand.Rand) error {
	dataCentre := &h.cluster.fleet.DataCentres[r.IntN(3)]
	dataCentre.State = fleet.StateOutOfService
	if err := h.cluster.publish(); err != nil {
		return err
	}
	time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration))))
	dataCentre.State = fleet.StateInService
	return h.cluster.publish()
}

func (h *chaos) breakConfigurationService(r *rand.Rand) error {
	if err := h.cluster.setConfigurationMode([]string{"down", "stale", "older"}[r.IntN(3)]); err != nil {
		return err
	}
	time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration))))
	return h.cluster.setConfigurationMode("up")
}

func (h *chaos) checkAnswers() {
	counts := make(map[string]int)
	tokens := 0
	for _, c := range h.completions {
		result := c.checkTokens()
		tokens += c.tokenCount()
		switch {
		case c.complete:
			require.Equal(h.t, "whole", result, "tokens of an answer that ended without an error")
			counts["whole"]++
		case c.failure != nil:
			require.Contains(h.t, []string{"partial, in order", "whole"}, result)
			counts[c.failure.Outcome]++
		default:
			require.Contains(h.t, []string{"partial, in order", "whole"}, result)
			require.Fail(h.t, "an answer ended without a final event and without a problem", "%v", c.connectionErr)
		}
	}
	h.t.Logf("answers by outcome %v, tokens %d", counts, tokens)
	require.Positive(h.t, counts["whole"])
}

func (h *chaos) checkOrders() {
	counts := make(map[string]int)
	for key, c := range h.orders {
		n, err := h.cluster.executions(key)
		require.NoError(h.t, err)
		require.LessOrEqual(h.t, n, 1, "order %s ran twice", key)
		switch {
		case c.complete:
			require.Equal(h.t, http.StatusCreated, c.status)
			require.Equal(h.t, 1, n, "order %s succeeded but did not run", key)
			counts["done"]++
		case c.failure != nil && c.failure.Outcome == problem.OutcomeNotRun:
			require.Zero(h.t, n, "order %s was reported as not run but ran", key)
			counts["not_run"]++
		case c.failure != nil:
			counts[c.failure.Outcome]++
		default:
			require.Fail(h.t, "an order ended without a response", "%v", c.connectionErr)
		}
	}
	h.t.Logf("orders by outcome %v", counts)
	require.Positive(h.t, counts["done"])
}
