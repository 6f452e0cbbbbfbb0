package main

import (
	"fmt"
	"net/http"
	"time"
)

// statusCase: a worker fails some requests with status 529.
func statusCase(s *system, trouble bool) string {
	given := make(chan int, 1000)
	n := 0
	w := startWorker(s.record, "i-1", "desk", "zg-a", "127.0.2.1", nil)
	w.answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
		n++
		rw.Header().Set("X-Flamingohold-Response-Seal", w.seal(r.Header.Get("X-Flamingohold-Attempt-Id")))
		status := 200
		if n%5 < 2 { // 4 of 10 requests
			status = 500
			if trouble {
				status = 529
			}
		}
		rw.WriteHeader(status)
		fmt.Fprintf(rw, "answer %d", n)
		given <- status
	}
	s.configure(10, []route{{Name: "order", Host: "a.example", PathPrefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 1500, TargetMS: 100, MaxAttempts: 1}})
	s.store.write("servers/"+w.id, w.entry("ready"))
	s.addRouters(1)
	s.awaitReady()
	client := newClient()
	broken := ""
	for range 10 {
		got := send(s.record, client, s.routers[0], "POST", "a.example", "/order/1", "body", 1500*time.Millisecond)
		want := <-given
		if got.status != want && got.header.Get("X-Flamingohold-Response-Seal") != "" {
			broken = fmt.Sprintf("request %s: the worker gave status %d, the client got %d with the worker's seal", got.id, want, got.status)
		}
	}
	return broken
}
