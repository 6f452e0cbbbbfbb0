package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	orderTimeout = 1500 * time.Millisecond
	// late is the time after the timeout of a route at which an answer is missing.
	late = 500 * time.Millisecond
)

// tally counts the requests that were sent to one router.
type tally struct {
	mu sync.Mutex
	// unanswered counts the requests without an answer at their route's timeout, missing
	// those that had none half a second later either.
	sent, answered, unanswered, missing int
}

// expectContinue lets one client upload a body in the way that clients of HTTP/1.1 do who
// ask first whether the body is wanted.
func expectContinue(b *bed, trouble bool) bool {
	b.configure(
		[]map[string]any{{
			"name": "book-pay", "host": "hire.example", "path_prefix": "/pay/", "kind": "non_idempotent", "service": "hire-app",
			"timeout_ms": orderTimeout.Milliseconds(), "target_latency_ms": 100, "max_attempts": 2, "priority": 2,
		}},
		[]map[string]any{{"name": "hire-app", "health_path": "/health", "max_conns": 100}},
	)
	for n := range 3 {
		d := &desk{id: fmt.Sprintf("i-%d", n+1), bed: b, runs: map[string]int{}}
		serve(b.address(31+n, workerPort), d)
		b.list(d.id, "hire-app", b.address(31+n, workerPort), "ready", time.Now().UnixMilli(), 6)
	}
	routers := []int{11, 12}
	for _, m := range routers {
		b.launch("router", m, "")
	}
	tallies := map[int]*tally{}
	for _, m := range routers {
		b.awaitReady(m)
		tallies[m] = &tally{}
	}
	end := time.Now().Add(14 * time.Second)
	var clients sync.WaitGroup
	for _, m := range routers {
		for n := range 8 {
			clients.Go(func() { b.orderUntil(end, m, n, tallies[m]) })
		}
	}
	time.Sleep(4 * time.Second)
	b.upload(11, trouble)
	ready := true
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		ready = b.isReady(11) && ready
	}
	clients.Wait()
	b.log("router 11 says that it is ready all the while: %v", ready)
	for _, p := range b.processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range b.processes {
		b.log("%s at %s has ended 8 s after SIGTERM: %v", p.role, p.ip, p.hasExited(8*time.Second))
	}
	held := true
	for _, m := range routers {
		t := tallies[m]
		b.log("router %d: %d sent, %d answered, %d without an answer at the route's timeout, of which %d had none 0.5 s later", m, t.sent, t.answered, t.unanswered, t.missing)
		held = held && 2*t.missing <= t.unanswered
	}
	return held
}

// orderUntil sends orders on a kept channel, one after another.
func (b *bed) orderUntil(end time.Time, machine, client int, t *tally) {
	var c net.Conn
	var reader *bufio.Reader
	body := bytes.Repeat([]byte("x"), 600)
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%d-%d-%d", machine, client, n)
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", b.address(machine, frontPort), time.Second); err != nil {
				b.log("client %d of router %d gets no channel: %v", client, machine, err)
				continue
			}
			reader = bufio.NewReader(c)
		}
		b.log("client %d sends %s to router %d", client, id, machine)
		sent := time.Now()
		_, _ = fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: hire.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s",
			idHeader, id, deadlineHeader, orderTimeout.Milliseconds(), len(body), body)
		_ = c.SetReadDeadline(sent.Add(orderTimeout + late))
		status := "nothing"
		if r, err := http.ReadResponse(reader, nil); err == nil {
			_, err = io.Copy(io.Discard, r.Body)
			status = fmt.Sprintf("%d (%v)", r.StatusCode, err)
		} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
			status = "a closed channel"
		}
		took := time.Since(sent)
		b.log("client %d gets %s for %s after %d ms", client, status, id, took.Milliseconds())
		t.mu.Lock()
		t.sent++
		switch {
		case status == "nothing":
			t.unanswered++
			t.missing++
		case took > orderTimeout:
			t.unanswered++
		default:
			t.answered++
		}
		t.mu.Unlock()
		if status == "nothing" || status == "a closed channel" {
			_ = c.Close()
			c = nil
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// upload sends one order with a body of 1.5 MB, with the header Expect or without it.
func (b *bed) upload(machine int, expect bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+b.address(machine, frontPort)+"/pay/x", bytes.NewReader(make([]byte, 1500000)))
	check(err)
	r.Host = "hire.example"
	r.Header.Set(idHeader, "upload")
	r.Header.Set(deadlineHeader, fmt.Sprint(orderTimeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer key-1")
	if expect {
		r.Header.Set("Expect", "100-continue")
	}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{ExpectContinueTimeout: time.Second}}
	b.log("a client sends an order of 1.5 MB to router %d, with Expect: 100-continue: %v", machine, expect)
	response, err := client.Do(r)
	if err != nil {
		b.log("the client gets %v", err)
		return
	}
	_ = response.Body.Close()
	b.log("the client gets %d", response.StatusCode)
}
