package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// process is one process of the system: a role of the deploy file.
type process struct {
	name, ip          string
	front, ready, ctl string
	cmd               *exec.Cmd
	settings, log     string
	ended             chan struct{}
	exit              error
}

// ports are the ports that all machines share.
type ports struct{ front, ready, control, internal, metrics int }

// freePorts returns free ports.
func freePorts(ip string) (ports, error) {
	var all [5]int
	for i := range all {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		all[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{all[0], all[1], all[2], all[3], all[4]}, nil
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// machine describes the machine of a process.
type machine struct {
	name, ip, zone string
	memoryMB       int
	seeds          []string
	store          string
	// app is the address of the worker on a side machine, empty on a front machine.
	app string
}

func settingsOf(m machine, p ports) map[string]any {
	listen := map[string]any{}
	if m.app == "" {
		listen = map[string]any{"front": hostPort(m.ip, p.front), "ready": hostPort(m.ip, p.ready), "control": hostPort(m.ip, p.control)}
	}
	s := map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "region": "hr-kont", "listen": listen,
		"internal_ports": []int{p.internal, p.metrics}, "seeds": m.seeds, "bootstrap": true, "heartbeat_ms": 1200,
		"limits": map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": m.memoryMB, "max_fds": 4100, "link_mbps": 1000.0},
		"bounds": map[string]any{
			"grace_s": 8, "drain_ms": 2000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "config_ms": 2000,
			"contact_ms": 3000,
		},
		"provider": map[string]any{"address": m.store, "form": "read", "reads_per_s": 2000},
	}
	if m.app != "" {
		s["app"] = m.app
	}
	return s
}

// start starts the process with the command of the deploy file.
func start(dir, role string, m machine, p ports) (*process, error) {
	content, err := json.MarshalIndent(settingsOf(m, p), "", " ")
	if err != nil {
		return nil, err
	}
	pr := &process{
		name: m.name, ip: m.ip, front: hostPort(m.ip, p.front), ready: hostPort(m.ip, p.ready), ctl: hostPort(m.ip, p.control),
		settings: filepath.Join(dir, m.name+".json"), log: filepath.Join(dir, m.name+".log"), ended: make(chan struct{}),
	}
	if err := os.WriteFile(pr.settings, content, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(pr.log)
	if err != nil {
		return nil, err
	}
	pr.cmd = exec.Command("target/flamingohold", role)
	pr.cmd.Env = []string{"FLAMINGOHOLD_CONFIG=" + pr.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	pr.cmd.Stdout, pr.cmd.Stderr = log, log
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := pr.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { pr.exit = pr.cmd.Wait(); close(pr.ended) }()
	return pr, nil
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop ends the process.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// awaitReady waits until the process says that it is ready.
func (p *process) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + p.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// memoryOf returns the resident memory of the process and its peak in bytes.
func memoryOf(pid int) (now, peak int64) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(content)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			now = kb << 10
		case "VmHWM:":
			peak = kb << 10
		}
	}
	return now, peak
}
