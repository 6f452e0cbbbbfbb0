package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["unread"] = unreadCase }

const (
	// frontMemoryMB is the memory of a front machine of stalak-zagreb.
	frontMemoryMB = 134
	// unreadAnswerBytes is the size of the worker's answer.
	unreadAnswerBytes = 6 << 20
	// unreadCallers is the number of callers at each router, and unreadGap the time
	// between two of them.
	unreadCallers = 40
	unreadGap     = 150 * time.Millisecond
	// unreadRounds is how often the crowd comes.
	unreadRounds = 3
	// unreadPatience is how long the callers of a round stay after the last has come.
	unreadPatience = 2 * time.Second
)

// deskConfig is a configuration with one plain service and its two routes.
func deskConfig() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "desk.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 15000,
			"target_latency_ms": 100, "priority": 2, "service": "desk", "max_attempts": attempts, "public": false}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("r-book", "/book/", "non_idempotent", 1), route("r-look", "/look/", "idempotent", 2)},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_conns": 100, "cold_start_s": 0, "cold_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t-1", "api_keys": []string{"k1"}, "priority": 1}},
	}
}

// supervisor plays the platform for one process: it kills the process when it exceeds its
// memory, and starts it again.
type supervisor struct {
	r       *record
	dir     string
	m       machine
	p       ports
	mu      sync.Mutex
	process *process
	peak    int64
	// ends counts how often the process ended, by itself or over its memory.
	ends int
}

func (s *supervisor) run(done <-chan struct{}) {
	defer s.process.stop()
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		now, _ := memoryOf(s.process.cmd.Process.Pid)
		s.mu.Lock()
		s.peak = max(s.peak, now)
		s.mu.Unlock()
		over := now > int64(s.m.memoryMB)<<20
		if !over && s.process.alive() {
			continue
		}
		s.r.printf("%s: %d MB resident of %d: ended by the platform %v", s.m.name, now>>20, s.m.memoryMB, over)
		_ = s.process.cmd.Process.Signal(syscall.SIGKILL)
		<-s.process.ended
		s.mu.Lock()
		s.ends++
		s.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		next, err := start(s.dir, "router", s.m, s.p)
		if err != nil {
			s.r.printf("%s: cannot start again: %v", s.m.name, err)
			return
		}
		s.mu.Lock()
		s.process = next
		s.mu.Unlock()
	}
}

// unreadCase lets callers ask for answers that they do not read. With trouble false they
// read them.
func unreadCase(r *record, dir string, trouble bool) (bool, error) {
	base := "127.31.0."
	s, err := newStore(base + "9")
	if err != nil {
		return false, err
	}
	var ran atomic.Int64
	body := strings.Repeat("order 4711 stand gold; ", unreadAnswerBytes/23)
	w, err := newWorker("i-1", base+"8", "desk", func(w *worker, q *requestIn) bool {
		ran.Add(1)
		time.Sleep(15 * time.Millisecond)
		if strings.HasSuffix(q.URL.Path, "/list") {
			return w.answer(q, 200, body)
		}
		return w.answer(q, 200, "ok")
	})
	if err != nil {
		return false, err
	}
	s.put("op/config", deskConfig())
	s.put("servers/i-1", w.entry("zg-a", "ready", 24))
	p, err := freePorts(base + "1")
	if err != nil {
		return false, err
	}
	seeds := []string{hostPort(base+"1", p.control), hostPort(base+"2", p.control)}
	var all []*supervisor
	done := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer close(done)
	for i := range 2 {
		m := machine{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s%d", base, i+1), zone: "zg-a", memoryMB: frontMemoryMB, seeds: seeds, store: s.address}
		pr, err := start(dir, "router", m, p)
		if err != nil {
			return false, err
		}
		v := &supervisor{r: r, dir: dir, m: m, p: p, process: pr}
		all = append(all, v)
		running.Go(func() { v.run(done) })
		if err := pr.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	for round := range unreadRounds {
		var crowds sync.WaitGroup
		for _, v := range all {
			crowds.Go(func() { v.crowd(trouble, round) })
		}
		crowds.Wait()
		time.Sleep(time.Second)
		for _, v := range all {
			v.mu.Lock()
			pr, peak, ends := v.process, v.peak, v.ends
			v.mu.Unlock()
			if err := pr.awaitReady(10 * time.Second); err != nil {
				r.printf("%v", err)
			}
			r.printf("%s: round %d, peak %d MB of %d, ended %d times so far; one ordinary request: %s", v.m.name, round+1, peak>>20, v.m.memoryMB, ends,
				ordinary(pr.front, fmt.Sprintf("o%d-%s", round, v.m.name)))
		}
	}
	r.printf("the worker ran %d requests", ran.Load())
	return verdict(r, all), nil
}

// verdict reports whether the rule was broken: on a tenth of the machines in use, two at
// least, processes have ended, three times or more.
func verdict(r *record, all []*supervisor) bool {
	machines, ends := 0, 0
	for _, v := range all {
		v.mu.Lock()
		r.printf("%s: peak %d MB resident of %d, ended %d times", v.m.name, v.peak>>20, v.m.memoryMB, v.ends)
		if v.ends > 0 {
			machines++
		}
		ends += v.ends
		v.mu.Unlock()
	}
	return machines >= 2 && ends >= 3
}

// crowd opens the callers' channels one after another.
func (s *supervisor) crowd(trouble bool, round int) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	var answered atomic.Int64
	for i := range unreadCallers {
		time.Sleep(unreadGap)
		c, err := smallWindow.Dial("tcp", hostPort(s.m.ip, s.p.front))
		if err != nil {
			continue
		}
		open = append(open, c)
		fmt.Fprintf(c, "GET /look/list HTTP/1.1\r\nHost: desk.example\r\nX-Flamingohold-Attempt-Id: %s-%d-%d\r\nX-Flamingohold-Deadline-Ms: 15000\r\nAuthorization: Bearer k1\r\n\r\n",
			s.m.name, round, i)
		if !trouble {
			go func() {
				if _, err := io.CopyN(io.Discard, c, int64(unreadAnswerBytes)); err == nil {
					answered.Add(1)
				}
			}()
		}
	}
	time.Sleep(unreadPatience)
	s.r.printf("%s: round %d, %d callers sent one request each; answers read completely: %d", s.m.name, round+1, len(open), answered.Load())
}

// ordinary sends one ordinary request and returns what it got.
func ordinary(address, id string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET /look/one HTTP/1.1\r\nHost: desk.example\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\nConnection: close\r\n\r\n", id)
	b, err := io.ReadAll(c)
	line, _, _ := strings.Cut(string(b), "\r\n")
	if err != nil {
		return err.Error()
	}
	return line
}

// smallWindow opens channels with a small window, as the pages say of the platform's links.
var smallWindow = net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
	})
	if err != nil {
		return err
	}
	return failed
}}
