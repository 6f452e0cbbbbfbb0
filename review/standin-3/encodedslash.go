package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// encodedSlash sends orders whose path has an encoded slash where the prefix of another
// route has a slash.
func encodedSlash(b *bed, trouble bool) bool {
	b.configure(
		[]map[string]any{
			{
				"name": "book-pay", "host": "hire.example", "path_prefix": "/hire/", "kind": "non_idempotent", "service": "hire-app",
				"timeout_ms": orderTimeout.Milliseconds(), "target_latency_ms": 100, "max_attempts": 2, "priority": 2,
			},
			{
				"name": "stock-check", "host": "hire.example", "path_prefix": "/hire/stock/", "kind": "idempotent", "service": "stock-app", "public": true,
				"timeout_ms": orderTimeout.Milliseconds(), "target_latency_ms": 100, "max_attempts": 2, "priority": 2,
			},
		},
		[]map[string]any{{"name": "hire-app", "health_path": "/health", "max_conns": 100}, {"name": "stock-app", "health_path": "/health", "max_conns": 100}},
	)
	workers := map[string]*desk{}
	for n, service := range []string{"hire-app", "stock-app"} {
		d := &desk{id: fmt.Sprintf("i-%d", n+1), bed: b, runs: map[string]int{}}
		serve(b.address(41+n, workerPort), d)
		b.list(d.id, service, b.address(41+n, workerPort), "ready", time.Now().UnixMilli(), 6)
		workers[service] = d
	}
	b.log("worker i-1 is one of hire-app, worker i-2 one of stock-app")
	b.launch(11)
	b.awaitReady(11)
	path := "/hire/stock-42"
	if trouble {
		path = "/hire/stock%2F42"
	}
	held := true
	for n := range 20 {
		id := fmt.Sprintf("pay-%d", n)
		status, err := b.orderAt(11, path, id)
		b.log("a client sends POST %s as %s, and gets %d %v", path, id, status, err)
		if workers["stock-app"].runCount(id) > 0 {
			b.log("%s was run by stock-app, though the only prefix that begins its path is /hire/ of hire-app", id)
			held = false
		}
	}
	return held
}

func (b *bed) orderAt(machine int, path, id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", b.address(machine, frontPort), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(orderTimeout + late))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: hire.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody",
		path, idHeader, id, deadlineHeader, orderTimeout.Milliseconds())
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}
