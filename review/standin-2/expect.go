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

func init() { cases["expect"] = expectCase }

const (
	// expectTimeout is the timeout_ms of the routes, and expectAfter the time after it at
	// which the rule looks.
	expectTimeout = 800 * time.Millisecond
	expectAfter   = 500 * time.Millisecond
	// expectLimit is the time limit of the callers.
	expectLimit = 1500 * time.Millisecond
	// expectGap is the time between two ordinary requests at one router.
	expectGap = 100 * time.Millisecond
	// expectCalm is the time before the client that sends Expect, and expectRest the time
	// after it.
	expectCalm = 3 * time.Second
	expectRest = 12 * time.Second
)

// expectTally counts the ordinary requests of one router.
type expectTally struct {
	mu sync.Mutex
	// sent counts the requests sent after the client with the Expect header came, open
	// those that were unanswered at timeout_ms, and late those that were 0.5 s later.
	before, sent, open, late int
	statuses                 map[string]int
}

// expectCase lets one client send an ordinary order with Expect: 100-continue. With
// trouble false it sends the same order without that field.
func expectCase(r *record, dir string, trouble bool) (bool, error) {
	base := "127.35.0."
	s, err := newStore(base + "9")
	if err != nil {
		return false, err
	}
	var ran atomic.Int64
	desk, err := newWorker("i-1", base+"8", "desk", func(w *worker, q *requestIn) bool {
		ran.Add(1)
		time.Sleep(15 * time.Millisecond)
		return w.answer(q, 200, "done "+q.id)
	})
	if err != nil {
		return false, err
	}
	config := deskConfig()
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["timeout_ms"] = expectTimeout.Milliseconds()
	}
	s.put("op/config", config)
	s.put("servers/i-1", desk.entry("zg-a", "ready", 6))
	p, err := freePorts(base + "1")
	if err != nil {
		return false, err
	}
	seeds := []string{hostPort(base+"1", p.control), hostPort(base+"2", p.control)}
	var routers []*process
	for i := range 2 {
		m := machine{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s%d", base, i+1), zone: "zg-a", memoryMB: frontMemoryMB, seeds: seeds, store: s.address}
		pr, err := start(dir, "router", m, p)
		if err != nil {
			return false, err
		}
		defer pr.stop()
		routers = append(routers, pr)
	}
	for _, pr := range routers {
		if err := pr.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	var came atomic.Bool
	end := time.Now().Add(expectCalm + expectRest)
	tallies := make([]*expectTally, len(routers))
	var callers sync.WaitGroup
	for i, pr := range routers {
		t := &expectTally{statuses: make(map[string]int)}
		tallies[i] = t
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(expectGap)
				callers.Go(func() { t.ordinary(pr, fmt.Sprintf("o-%d-%d", i, n), came.Load()) })
			}
		})
	}
	time.Sleep(expectCalm)
	r.printf("the client sends one order to %s, with Expect: 100-continue: %v", routers[0].name, trouble)
	came.Store(true)
	r.printf("the client got: %s", orderWithBody(routers[0].front, trouble))
	time.Sleep(4 * time.Second)
	for _, pr := range routers {
		r.printf("%s: process runs: %v, GET /v1/readiness answers 200: %v", pr.name, pr.alive(), pr.isReady())
	}
	callers.Wait()
	broken := false
	for i, t := range tallies {
		r.printf("%s: %d ordinary requests before, %d after; after: %d unanswered at timeout_ms, %d of these still 0.5 s later; all: %v",
			routers[i].name, t.before, t.sent, t.open, t.late, t.statuses)
		// Eight or more, and over a quarter, have no final answer 0.5 s after timeout_ms.
		broken = broken || t.late >= 8 && 4*t.late > t.sent && 2*t.late > t.open
	}
	r.printf("the worker ran %d requests", ran.Load())
	return broken, nil
}

// ordinary sends one ordinary lookup on a new channel.
func (t *expectTally) ordinary(pr *process, id string, after bool) {
	begin := time.Now()
	status := "no answer"
	if c, err := net.DialTimeout("tcp", pr.front, time.Second); err == nil {
		_ = c.SetDeadline(begin.Add(expectLimit))
		fmt.Fprintf(c, "GET /look/%s HTTP/1.1\r\nHost: desk.example\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Deadline-Ms: %d\r\nAuthorization: Bearer k1\r\nConnection: close\r\n\r\n", id, id, expectLimit.Milliseconds())
		if a, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			if body, err := io.ReadAll(a.Body); err == nil {
				status = a.Status
				if a.StatusCode == 200 && string(body) != "done "+id {
					status = "another answer"
				}
			}
		}
		_ = c.Close()
	}
	elapsed := time.Since(begin)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[status]++
	if !after {
		t.before++
		return
	}
	t.sent++
	if elapsed > expectTimeout || status == "no answer" {
		t.open++
	}
	if elapsed > expectTimeout+expectAfter || status == "no answer" {
		t.late++
	}
}

// orderWithBody sends one order, and its body after the interim answer or a second. It
// returns what the client got within three seconds.
func orderWithBody(address string, expects bool) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	body := strings.Repeat("stand gold; ", 200)
	field := ""
	if expects {
		field = "Expect: 100-continue\r\n"
	}
	fmt.Fprintf(c, "POST /book/one HTTP/1.1\r\nHost: desk.example\r\nX-Flamingohold-Attempt-Id: e-1\r\nX-Flamingohold-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\n%sContent-Length: %d\r\n\r\n", field, len(body))
	in := bufio.NewReader(c)
	if expects {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if a, err := http.ReadResponse(in, nil); err == nil && a.StatusCode != 100 {
			return a.Status
		}
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	}
	if _, err := io.WriteString(c, body); err != nil {
		return err.Error()
	}
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		return err.Error()
	}
	return a.Status
}
