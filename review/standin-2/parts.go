package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["parts"] = partsCase }

const (
	// partsCallers is the number of callers at each router, each with one request at a time.
	partsCallers = 30
	// partsBytes is the size of the identifier of the shared part of a prompt. The header
	// stays below max_header_bytes, which is 16,384.
	partsBytes = 15_000
	// partsSeconds is how long the callers come, unless each router has ended twice before.
	partsSeconds = 90
)

// engineConfig is a configuration with a service of model workers and a plain one.
func engineConfig() map[string]any {
	c := deskConfig()
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-match", "host": "desk.example", "path_prefix": "/match/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 1500,
		"priority": 0, "service": "models", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 180,
	})
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": "models", "health_path": "/health", "max_conns": 242, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
		"engine": map[string]any{
			"slots": 24, "kv_tokens": 34252, "kv_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	})
	return c
}

// modelHandler answers reports, and requests with a stream of three events.
func modelHandler(running *atomic.Int64, ran *atomic.Int64) func(*worker, *requestIn) bool {
	return func(w *worker, q *requestIn) bool {
		if q.URL.Path == "/v1/report" {
			body := fmt.Sprintf(`{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":%d,"kv_used":%d,"kv_total":34252,"handles":0,"pinned":0,"held":0,"state":"ready","next":0,"runs":[],"born":%d}`,
				running.Load(), running.Load()*100, w.born)
			_, err := fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return err == nil
		}
		ran.Add(1)
		running.Add(1)
		defer running.Add(-1)
		fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Response-Seal: %s.%s\r\nX-Flamingohold-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			q.id, w.id, q.id)
		for i := 1; i <= 3; i++ {
			time.Sleep(9 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 300))
			if _, err := fmt.Fprintf(q.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(q.conn, "0\r\n\r\n")
		return err == nil
	}
}

// partsCase lets callers send requests whose prompts have a shared part with a long
// identifier, a new one each time. With trouble false the identifiers are short.
func partsCase(r *record, dir string, trouble bool) (bool, error) {
	base := "127.33.0."
	s, err := newStore(base + "9")
	if err != nil {
		return false, err
	}
	p, err := freePorts(base + "1")
	if err != nil {
		return false, err
	}
	s.put("op/config", engineConfig())
	seeds := []string{hostPort(base+"1", p.control), hostPort(base+"2", p.control)}
	var ran atomic.Int64
	for i := range 2 {
		ip := fmt.Sprintf("%s%d", base, 11+i)
		w, err := newWorker(fmt.Sprintf("i-%d", i+1), ip, "models", modelHandler(new(atomic.Int64), &ran))
		if err != nil {
			return false, err
		}
		s.put("servers/"+w.id, w.entry("zg-a", "ready", 24))
		side, err := start(dir, "reporter", machine{name: fmt.Sprintf("side-%d", i+1), ip: ip, zone: "zg-a", memoryMB: 216, seeds: seeds, store: s.address, app: w.address}, p)
		if err != nil {
			return false, err
		}
		defer side.stop()
	}
	desk, err := newWorker("i-9", base+"8", "desk", func(w *worker, q *requestIn) bool {
		time.Sleep(15 * time.Millisecond)
		return w.answer(q, 200, "ok")
	})
	if err != nil {
		return false, err
	}
	s.put("servers/i-9", desk.entry("zg-a", "ready", 6))
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
	time.Sleep(time.Second)
	size := partsBytes
	if !trouble {
		size = 8
	}
	end := time.Now().Add(partsSeconds * time.Second)
	var mu sync.Mutex
	answers := map[string]int{}
	var callers sync.WaitGroup
	for i, v := range all {
		for k := range partsCallers {
			callers.Go(func() {
				for n := 0; time.Now().Before(end) && !shown(all); n++ {
					result := v.match(fmt.Sprintf("%d-%d-%d", i, k, n), size)
					mu.Lock()
					answers[result]++
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	r.printf("answers to the callers: %v; runs at the workers: %d", answers, ran.Load())
	time.Sleep(time.Second)
	return verdict(r, all), nil
}

// shown reports whether each process has ended twice.
func shown(all []*supervisor) bool {
	for _, v := range all {
		v.mu.Lock()
		ends := v.ends
		v.mu.Unlock()
		if ends < 2 {
			return false
		}
	}
	return true
}

// match sends one request on a new channel and returns what came.
func (s *supervisor) match(id string, size int) string {
	c, err := net.DialTimeout("tcp", hostPort(s.m.ip, s.p.front), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return "no channel"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	part := fmt.Sprintf("%x", id)
	part += strings.Repeat("0", max(0, size-len(part)))
	fmt.Fprintf(c, "POST /match/x HTTP/1.1\r\nHost: desk.example\r\nX-Flamingohold-Attempt-Id: p%s\r\nX-Flamingohold-Model: m\r\nX-Flamingohold-Token-Counts: 60,12\r\nX-Flamingohold-Prompt-Prefix: %s:40,%x:20\r\nX-Flamingohold-Deadline-Ms: 6000\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
		id, part, "own"+id)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return "broken off"
	}
	return a.Status
}
