package scenarios_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/standin/relay"
	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	engineService = "lm-pool"
	plainService  = "hire-app"
	model         = "quote-writer"
	region        = "hr-kont"
	firstPort     = 21000
)

// clusters counts the clusters of this test process. Each cluster has its own
// loopback address, so that fixed ports never collide.
var clusters atomic.Uint32

// clusterOptions holds the size of a cluster and the behaviour of its upstreams.
type clusterOptions struct {
	gateways, engines, plain int
	// keyLifetimeSeconds is the lifetime of idempotency keys of the plain service.
	keyLifetimeSeconds int
	// slowdown multiplies the engines' step times.
	slowdown float64
	// cold starts the engines cold, without the flag --warm.
	cold bool
	// plainDelay is how long the plain service takes for each request, as a
	// duration such as "300ms".
	plainDelay string
	// idleTimeoutMillis is the idle timeout of all listeners, 0 for the default.
	idleTimeoutMillis int
	// maxBodyBytes is the limit of a request body, 0 for the default.
	maxBodyBytes int
	// memoryMB is the memory of a gateway or sidecar in MB, 0 if unknown.
	memoryMB int
	// memoryTokens is the size of the engines' KV cache in tokens, 0 for the
	// default.
	memoryTokens int
	// concurrency is the concurrency limit of the engine service at each sidecar,
	// 0 for the default.
	concurrency int
	// deduplicates makes the upstreams of the plain service deduplicate requests
	// by their idempotency key.
	deduplicates bool
}

// cluster is a deployment of separate processes on one loopback address:
// gateways, sidecars, upstream stand-ins and the platform stand-in.
type cluster struct {
	directory string
	ip        string
	nextPort  int
	options   clusterOptions
	// version is the last configuration version that was published.
	version int
	fleet   fleet.Fleet
	// platform is the address of the platform stand-in, which serves the
	// instance list and the configuration.
	platform string

	processes map[string]*process
	// addresses maps "<process>/<listener>" to "ip:port".
	addresses map[string]string
	// relays maps "<instance>" to the relay in front of its sidecar, and
	// "upstream-<instance>" to the relay in front of its upstream.
	relays    map[string]*relay.Relay
	instances []instance.Instance
	calls     map[string]*call
	versions  *versionWatcher
}

// initialise sets up a cluster with the options, without starting a process.
func (c *cluster) initialise(directory string, o clusterOptions) {
	n := clusters.Add(1)
	pid := os.Getpid()
	c.directory = directory
	c.ip = fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n)
	c.nextPort = firstPort
	c.options = o
	c.processes = make(map[string]*process)
	c.addresses = make(map[string]string)
	c.relays = make(map[string]*relay.Relay)
	c.calls = make(map[string]*call)
	c.fleet = fleet.Fleet{
		DataCentres: []fleet.DataCentre{
			{Name: "zg-a", Region: region, State: fleet.StateInService},
			{Name: "zg-b", Region: region, State: fleet.StateInService},
			{Name: "zg-c", Region: region, State: fleet.StateInService},
		},
		Policy: fleet.DefaultPolicy(),
	}
}

// address returns the address of a process's listener. The first call for a
// listener assigns its port.
func (c *cluster) address(process, listener string) string {
	key := process + "/" + listener
	if a, ok := c.addresses[key]; ok {
		return a
	}
	a := c.ip + ":" + strconv.Itoa(c.nextPort)
	c.nextPort++
	c.addresses[key] = a
	return a
}

func program(name string) string {
	return filepath.Join("..", "build", name)
}

func absoluteProgram(name string) (string, error) {
	path, err := filepath.Abs(program(name))
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(path); err != nil {
		return "", errors.Wrap(err, "find program (run `make build` first)")
	}
	return path, nil
}

// start starts all processes and waits until they are ready.
func (c *cluster) start() error {
	if err := os.WriteFile(c.path("peer.secret"), []byte("scenario-peer-secret\n"), 0o600); err != nil {
		return err
	}
	steps := []func() error{c.startUpstreams, c.startPlatform, c.publish, c.startGateways, c.startSidecars, c.awaitReady}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	c.versions = watchVersions(c)
	return nil
}

func (c *cluster) path(name string) string { return filepath.Join(c.directory, name) }

func dataCentre(n int) string { return "zg-" + string(rune('a'+n%3)) }

func (c *cluster) startUpstreams() error {
	for n := range c.options.engines {
		name := fmt.Sprintf("%s-%d", engineService, n+1)
		arguments := []string{
			"engine", "--address", c.address(name, "upstream"), "--name", name, "--model", model,
			"--slowdown", strconv.FormatFloat(c.options.slowdown, 'f', -1, 64),
		}
		if !c.options.cold {
			arguments = append(arguments, "--warm")
		}
		if c.options.memoryTokens > 0 {
			arguments = append(arguments, "--memory-tokens", strconv.Itoa(c.options.memoryTokens))
		}
		if err := c.addUpstream(name, engineService, dataCentre(n), "/v1/models", arguments); err != nil {
			return err
		}
	}
	for n := range c.options.plain {
		name := fmt.Sprintf("%s-%d", plainService, n+1)
		arguments := []string{"plain", "--address", c.address(name, "upstream"), "--name", name, "--delay", c.options.plainDelay}
		if c.options.deduplicates {
			arguments = append(arguments, "--deduplicate")
		}
		if err := c.addUpstream(name, plainService, dataCentre(n), "/healthz", arguments); err != nil {
			return err
		}
	}
	return nil
}

// addUpstream starts an upstream stand-in and registers its instance. The
// connections to the sidecar and to the upstream pass through relays, which can
// disturb them.
func (c *cluster) addUpstream(name, serviceName, dataCentre, probe string, arguments []string) error {
	binary, err := absoluteProgram("standin")
	if err != nil {
		return err
	}
	upstream := c.address(name, "upstream")
	err = c.run("upstream-"+name, "http://"+upstream+probe, append([]string{binary}, arguments...))
	if err != nil {
		return err
	}
	toUpstream, err := relay.New(upstream)
	if err != nil {
		return err
	}
	toSidecar, err := relay.New(c.address(name, "peer"))
	if err != nil {
		return err
	}
	c.relays["upstream-"+name] = toUpstream
	c.relays[name] = toSidecar
	c.register(name, serviceName, dataCentre, toUpstream.Address(), toSidecar.Address())
	return nil
}

// register adds an instance to the instance list. It is called before the
// platform stand-in starts.
func (c *cluster) register(name, serviceName, dataCentre, upstream, sidecar string) {
	c.instances = append(c.instances, instance.Instance{
		Name: name, Service: serviceName, Slot: "slot-" + name, DataCentre: dataCentre, Region: region,
		UpstreamAddress: upstream, SidecarAddress: sidecar,
		SlotIncarnation: 1, State: instance.StateLive,
	})
}

func (c *cluster) startPlatform() error {
	binary, err := absoluteProgram("standin")
	if err != nil {
		return err
	}
	list := c.path("instances.json")
	if err := writeJSON(list, c.instances); err != nil {
		return err
	}
	c.platform = c.address("platform", "platform")
	return c.run("platform", "http://"+c.platform+"/v1/instances", []string{
		binary, "platform", "--address", c.platform, "--instances", list, "--lag", "1s",
	})
}

// publish bundles the operators' files as the next configuration version and
// uploads it to the configuration service.
func (c *cluster) publish() error {
	c.version++
	return c.publishVersion(c.version, c.platform)
}

func (c *cluster) publishVersion(version int, platform string) error {
	sources := c.path("sources")
	if err := c.writeSources(sources); err != nil {
		return err
	}
	bundle := c.path("bundle-" + strconv.Itoa(version))
	if err := runProgram("flamingohold", "collect", "--in", sources, "--out", bundle, "--version", strconv.Itoa(version)); err != nil {
		return err
	}
	return runProgram("standin", "publish", "--address", platform, "--bundle", bundle)
}

func runProgram(name string, arguments ...string) error {
	binary, err := absoluteProgram(name)
	if err != nil {
		return err
	}
	output, err := exec.Command(binary, arguments...).CombinedOutput()
	return errors.Wrapf(err, "%s %v: %s", name, arguments, output)
}

func (c *cluster) writeSources(directory string) error {
	if err := writeJSON(filepath.Join(directory, "fleet.flamingohold.json"), c.fleet); err != nil {
		return err
	}
	accounts := []account.Account{
		{Name: "bakery", KeySHA256: account.HashKey("key-bakery")},
		{Name: "couple", KeySHA256: account.HashKey("key-couple")},
	}
	err := writeJSON(filepath.Join(directory, "accounts.flamingohold.json"), accounts)
	if err != nil {
		return err
	}
	engine := service.Service{
		Name: engineService, Kind: service.KindEngine, PathPrefixes: []string{"/v1/"},
		Models:           []service.Model{{Name: model, ContextTokens: 100_000}},
		ConcurrencyLimit: c.options.concurrency,
	}
	plain := service.Service{
		Name: plainService, Kind: service.KindPlain, PathPrefixes: []string{"/hire/"},
		Orders: service.Orders{
			Methods: []string{"POST"}, KeyLifetimeSeconds: c.options.keyLifetimeSeconds,
			UpstreamDeduplicates: c.options.deduplicates,
		},
	}
	for _, i := range c.instances {
		if i.Service == plainService {
			plain.Slots = append(plain.Slots, i.Slot)
		}
	}
	for _, s := range []service.Service{engine, plain} {
		if s.Name == plainService && len(plain.Slots) == 0 {
			continue
		}
		if err := writeJSON(filepath.Join(directory, "services", s.Name, "service.flamingohold.json"), s); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) gatewayPeers() []string {
	var peers []string
	for n := range c.options.gateways {
		peers = append(peers, c.address(fmt.Sprintf("gateway-%d", n+1), "peer"))
	}
	return peers
}

func (c *cluster) startGateways() error {
	for n := range c.options.gateways {
		name := fmt.Sprintf("gateway-%d", n+1)
		err := c.startMember("gateway", &settings.Settings{
			Name: name, DataCentre: dataCentre(n), Region: region,
			CallerAddress:        c.address(name, "caller"),
			PeerAddress:          c.address(name, "peer"),
			AdminAddress:         c.address(name, "admin"),
			ConfigurationService: c.platform, InstanceList: c.platform,
			GatewayPeers: c.gatewayPeers(),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startSidecars() error {
	for _, i := range c.instances {
		err := c.startMember("sidecar", &settings.Settings{
			Name: i.Name, DataCentre: i.DataCentre, Region: region,
			PeerAddress:  c.address(i.Name, "peer"),
			AdminAddress: c.address(i.Name, "admin"),
			GatewayPeers: c.gatewayPeers(), InstanceList: c.platform,
			Service: i.Service, Instance: i.Name, Slot: i.Slot, SlotIncarnation: i.SlotIncarnation,
			UpstreamAddress: i.UpstreamAddress,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// startMember starts a gateway or a sidecar without waiting until it is ready.
func (c *cluster) startMember(role string, s *settings.Settings) error {
	binary, err := absoluteProgram("flamingohold")
	if err != nil {
		return err
	}
	s.PeerSecretFile = c.path("peer.secret")
	s.IdleTimeoutMillis = c.options.idleTimeoutMillis
	s.MaxBodyBytes, s.MemoryMB = c.options.maxBodyBytes, c.options.memoryMB
	s.TraceFile = c.path(s.Name + ".spans.jsonl")
	file := c.path(s.Name + ".settings.json")
	if err := writeJSON(file, s); err != nil {
		return err
	}
	p := &process{
		name: s.Name, directory: c.directory, probe: "http://" + s.AdminAddress + "/readyz",
		arguments: []string{binary, role, "--settings", file},
	}
	c.processes[s.Name] = p
	return p.start()
}

func (c *cluster) awaitReady() error {
	for _, p := range c.processes {
		if err := p.awaitProbe(); err != nil {
			return err
		}
	}
	return nil
}

// run starts a stand-in and waits until it is ready.
func (c *cluster) run(name, probe string, arguments []string) error {
	p := &process{name: name, directory: c.directory, probe: probe, arguments: arguments}
	c.processes[name] = p
	if err := p.start(); err != nil {
		return err
	}
	return p.awaitProbe()
}

// close kills all processes of the cluster and closes its relays.
func (c *cluster) close() {
	if c.versions != nil {
		c.versions.close()
	}
	for _, p := range c.processes {
		if p.running() {
			_ = p.signal(syscall.SIGKILL)
			_ = p.awaitExit()
		}
	}
	for _, r := range c.relays {
		_ = r.Close()
	}
}

// executions returns how often the instances of the plain service executed a
// request with the idempotency key.
func (c *cluster) executions(key string) (int, error) {
	total := 0
	for _, i := range c.instances {
		if i.Service != plainService {
			continue
		}
		var counts []struct {
			Key        string `json:"key"`
			Executions int    `json:"executions"`
		}
		if err := getJSON("http://"+c.address(i.Name, "upstream")+"/admin/counts", &counts); err != nil {
			return 0, err
		}
		for _, n := range counts {
			if n.Key == key {
				total += n.Executions
			}
		}
	}
	return total, nil
}

func (c *cluster) engineState(name string) (map[string]json.RawMessage, error) {
	state := make(map[string]json.RawMessage)
	err := getJSON("http://"+c.address(name, "upstream")+"/admin/state", &state)
	return state, err
}
