package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Ports of a machine, the same on each.
const (
	frontPort, readyPort, controlPort = 8740, 8749, 8748
	firstInternal, lastInternal       = 7200, 7215
	storePort, workerPort             = 8742, 9000
)

const (
	// memoryMB is the memory of a machine, as that of the site's routers.
	memoryMB = 134
	// heartbeat is the interval of the workers' liveness reports.
	heartbeat = 1200 * time.Millisecond
)

// process is a router, or a worker that has one of its own.
type process struct {
	*exec.Cmd
	// exited is closed once the process has ended.
	exited chan struct{}
}

// bed is one deployment on loopback addresses. The routers are the machines 11 to 20.
type bed struct {
	dir, network, program string
	store                 *store
	processes             []*process
	start                 time.Time

	mu     sync.Mutex
	record *os.File
}

func newBed(record string) *bed {
	dir, err := os.MkdirTemp("", "review-3-")
	check(err)
	f, err := os.Create(record)
	check(err)
	b := &bed{dir: dir, program: "target/flamingohold", store: newStore(), record: f, start: time.Now()}
	present = b
	b.network = freeNetwork()
	serve(b.address(2, storePort), b.store)
	return b
}

// freeNetwork returns the first three bytes of loopback addresses that nobody uses.
func freeNetwork() string {
	for n := range 200 {
		network := fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+n)%150, 1+os.Getpid()/150%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.2:%d", network, storePort))
		if err == nil {
			_ = l.Close()
			return network
		}
	}
	check(fmt.Errorf("no free loopback network"))
	return ""
}

// present is the only bed of the program.
var present *bed

// check ends the program with status 2 if the case cannot run.
func check(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	if present != nil {
		present.end()
	}
	os.Exit(2)
}

func serve(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	check(err)
	go func() { _ = http.Serve(l, h) }()
}

func (b *bed) ip(n int) string { return fmt.Sprintf("%s.%d", b.network, n) }

func (b *bed) address(n, port int) string { return fmt.Sprintf("%s:%d", b.ip(n), port) }

// log writes a line to the record.
func (b *bed) log(format string, a ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, a...))
}

// launch starts a router on a machine, as deploy/system.toml says. The deployments of the
// cases have plain services only, so that they have no machines of class side.
func (b *bed) launch(machine int) *process {
	const role = "router"
	ip := b.ip(machine)
	s := map[string]any{
		"node_name": fmt.Sprintf("%s-%d", role, machine), "role": role, "ip": ip, "zone": "z-a", "region": "r", "zones": map[string]string{"z-a": "r"},
		"internal_ports": []int{firstInternal, lastInternal}, "seeds": []string{b.address(11, controlPort), b.address(12, controlPort)}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": heartbeat.Milliseconds(), "tolerate": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_ms": 2000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54,
			"evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120,
		},
		"provider": map[string]any{"address": b.address(2, storePort), "form": "read", "reads_per_s": 2000, "history_s": 20},
	}
	s["serves"] = []string{"front", "control"}
	s["listen"] = map[string]string{"front": b.address(machine, frontPort), "ready": b.address(machine, readyPort), "control": b.address(machine, controlPort)}
	data, _ := json.Marshal(s)
	path := filepath.Join(b.dir, fmt.Sprintf("%s-%d.json", role, machine))
	check(os.WriteFile(path, data, 0o600))
	output, err := os.Create(filepath.Join(b.dir, fmt.Sprintf("%s-%d.log", role, machine)))
	check(err)
	p := &process{Cmd: exec.Command(b.program, role), exited: make(chan struct{})}
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FLAMINGOHOLD_CONFIG=" + path}
	p.Stdout, p.Stderr = output, output
	check(p.Start())
	go func() { _ = p.Wait(); close(p.exited) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = append(b.processes, p)
	return p
}

// isReady asks the router at the machine whether it is ready, as the platform does.
func (b *bed) isReady(machine int) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + b.address(machine, readyPort) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (b *bed) awaitReady(machine int) {
	for range 200 {
		if b.isReady(machine) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	check(fmt.Errorf("router %d does not become ready", machine))
}

// end kills what was started and removes the temporary folder.
func (b *bed) end() {
	for _, p := range b.processes {
		_ = p.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs:", b.dir)
		return
	}
	_ = os.RemoveAll(b.dir)
}

// configure writes the configuration to the store.
func (b *bed) configure(routes, services []map[string]any) {
	b.store.put("op/config", map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}}},
	})
}

// list writes the entry of a worker to the store.
func (b *bed) list(id, service, address, state string, born int64, slots int) {
	b.store.put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": "z-a", "version": "v1", "slots": slots, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": born,
	})
}
