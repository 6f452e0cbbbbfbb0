package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["moved"] = movedCase }

const (
	// movedOverlap is how long the store answers at both addresses.
	movedOverlap = 5 * time.Second
	// movedCalm is the time from the end of the overlap to the change of the
	// configuration, above contact_ms.
	movedCalm = 4 * time.Second
	// movedConfig is config_ms.
	movedConfig = 2 * time.Second
	// movedWatch is how long requests are sent after config_ms.
	movedWatch = 10 * time.Second
)

// serveAt lets the store answer at a further address. The function closes it.
func (s *store) serveAt(ip string) (address string, end func(), err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// movedCase gives the store another address in the settings files, with SIGHUP, and then
// changes the configuration. With trouble false the store keeps its address.
func movedCase(r *record, dir string, trouble bool) (bool, error) {
	base := "127.45.0."
	s, err := newStore(base + "9")
	if err != nil {
		return false, err
	}
	first, endFirst, err := s.serveAt(base + "9")
	if err != nil {
		return false, err
	}
	for i, service := range []string{"desk", "desk-2"} {
		w, err := newWorker(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("%s%d", base, 11+i), service, func(w *worker, q *requestIn) bool {
			time.Sleep(15 * time.Millisecond)
			return w.answer(q, 200, w.service)
		})
		if err != nil {
			return false, err
		}
		s.put("servers/"+w.id, w.entry("zg-a", "ready", 6))
	}
	config := deskConfig()
	config["services"] = append(config["services"].([]any), map[string]any{
		"name": "desk-2", "health_path": "/health", "max_conns": 100, "cold_start_s": 0, "cold_per_s": 0})
	s.put("op/config", config)
	p, err := freePorts(base + "1")
	if err != nil {
		return false, err
	}
	seeds := []string{hostPort(base+"1", p.control), hostPort(base+"2", p.control)}
	var routers []*process
	var machines []machine
	for i := range 2 {
		m := machine{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s%d", base, i+1), zone: "zg-a", memoryMB: frontMemoryMB, seeds: seeds, store: first}
		pr, err := start(dir, "router", m, p)
		if err != nil {
			return false, err
		}
		defer pr.stop()
		routers, machines = append(routers, pr), append(machines, m)
	}
	for _, pr := range routers {
		if err := pr.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	for _, pr := range routers {
		r.printf("%s: before: %s", pr.name, look(pr.front, "k1"))
	}
	if trouble {
		second, _, err := s.serveAt(base + "10")
		if err != nil {
			return false, err
		}
		r.printf("the store answers at a second address; the settings files get it, and each router SIGHUP")
		for i, pr := range routers {
			machines[i].store = second
			content, err := json.MarshalIndent(settingsOf(machines[i], p), "", " ")
			if err != nil {
				return false, err
			}
			if err := os.WriteFile(pr.settings+".new", content, 0o600); err != nil {
				return false, err
			}
			if err := os.Rename(pr.settings+".new", pr.settings); err != nil {
				return false, err
			}
			_ = pr.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	time.Sleep(movedOverlap)
	if trouble {
		endFirst()
		r.printf("the store no longer answers at the first address")
	}
	time.Sleep(movedCalm)
	config["version"] = 12
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["service"] = "desk-2"
	}
	config["tenants"] = []any{map[string]any{"name": "t-1", "api_keys": []string{"k2"}, "priority": 1}}
	s.put("op/config", config)
	r.printf("version 12 is confirmed: all routes go to desk-2, key k1 is taken away, key k2 is added")
	time.Sleep(movedConfig + 100*time.Millisecond)
	old := 0
	for end := time.Now().Add(movedWatch); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, pr := range routers {
			dropped, added := look(pr.front, "k1"), look(pr.front, "k2")
			r.printf("%s: key k1: %s; key k2: %s", pr.name, dropped, added)
			// Only an older version lets k1 run, refuses k2 or sends to desk.
			if strings.HasPrefix(dropped, "200") || strings.HasPrefix(added, "401") || strings.HasSuffix(added, " desk") {
				old++
			}
		}
	}
	r.printf("handled as only the older version allows: %d", old)
	return old > 0, nil
}

var lookCount int

// look sends one lookup with the key, and returns its status and the service that ran it.
func look(address, key string) string {
	lookCount++
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no channel"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET /look/one HTTP/1.1\r\nHost: desk.example\r\nX-Flamingohold-Attempt-Id: l-%d\r\nX-Flamingohold-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", lookCount, key)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	body, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != 200 {
		return a.Status
	}
	return fmt.Sprintf("%d run by %s", a.StatusCode, body)
}
