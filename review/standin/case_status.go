package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// statusCase: one of seven workers fails 4 of 10 requests, with status 529.
func statusCase(s *system, trouble bool) string {
	var mu sync.Mutex
	given := make(map[string]int)
	zones := []string{"zg-a", "zg-b", "zg-c"}
	for i := range plainWorkers {
		w := startWorker(s.record, fmt.Sprintf("i-%d", i+1), "desk", zones[i%3], "127.0.2.1", nil)
		n := 0
		w.answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("X-Flamingohold-Attempt-Id")
			mu.Lock()
			n++
			status := http.StatusOK
			if i == 0 && n%5 >= 3 {
				status = http.StatusInternalServerError
				if trouble {
					status = 529
				}
			}
			given[id] = status
			mu.Unlock()
			rw.Header().Set("X-Flamingohold-Response-Seal", w.seal(id))
			rw.WriteHeader(status)
			_, _ = fmt.Fprintf(rw, "answer of %s", w.id)
			s.record.add("worker %s: request %s answered with status %d", w.id, id, status)
		}
		s.store.write("servers/"+w.id, w.entry("ready"))
	}
	s.configure(10, []route{{Name: "order", Host: "a.example", PathPrefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 1000, TargetMS: 100, MaxAttempts: 1}})
	s.addRouters(1)
	s.awaitReady()
	client := newClient()
	broken := ""
	wrong := 0
	for range 300 {
		got := send(s.record, client, s.routers[0], "POST", "a.example", "/order/1", "body", time.Second)
		mu.Lock()
		want := given[got.id]
		mu.Unlock()
		if got.err == nil && got.status != want && got.header.Get("X-Flamingohold-Response-Seal") != "" {
			wrong++
			broken = fmt.Sprintf("MIXED: %d requests, the last %s: the worker gave status %d, the client got %d with the worker's seal", wrong, got.id, want, got.status)
		}
	}
	return broken
}
