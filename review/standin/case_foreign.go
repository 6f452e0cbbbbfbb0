package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// foreignCase: another writer replaces the entry of a worker of the service "stock" by one
// without the field "born", which names the service "desk".
func foreignCase(s *system, trouble bool) string {
	var workers []*worker
	for i, zone := range []string{"zg-a", "zg-b", "zg-c", "zg-a", "zg-b", "zg-c"} {
		service := map[bool]string{true: "desk", false: "stock"}[i < 3]
		w := startWorker(s.record, fmt.Sprintf("i-%d", i+1), service, zone, "127.0.2.1", nil)
		w.answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			rw.Header().Set("X-Flamingohold-Response-Seal", w.seal(r.Header.Get("X-Flamingohold-Attempt-Id")))
			time.Sleep(15 * time.Millisecond)
			_, _ = io.WriteString(rw, "done by "+service)
		}
		workers = append(workers, w)
		s.store.write("servers/"+w.id, w.entry("ready"))
	}
	s.configure(10, []route{
		{Name: "order", Host: "a.example", PathPrefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 1000, TargetMS: 100, MaxAttempts: 1},
		{Name: "stock", Host: "a.example", PathPrefix: "/stock/", Kind: "idempotent", Service: "stock", TimeoutMS: 1000, TargetMS: 100, MaxAttempts: 2},
	})
	s.addRouters(3)
	s.awaitReady()
	stop := make(chan struct{})
	var background sync.WaitGroup
	for _, r := range s.routers {
		background.Go(func() {
			client := newClient()
			for ticker := time.NewTicker(80 * time.Millisecond); ; {
				select {
				case <-stop:
					return
				case <-ticker.C:
					send(s.record, client, r, "POST", "a.example", "/order/1", "body", time.Second)
					send(s.record, client, r, "GET", "a.example", "/stock/1", "", time.Second)
				}
			}
		})
	}
	beats := make(chan *worker, 100)
	for _, w := range workers {
		background.Go(func() {
			for ticker := time.NewTicker(heartbeat); ; {
				select {
				case <-stop:
					return
				case <-ticker.C:
					s.store.writeIfChanged("servers/"+w.id, w.entry("ready"))
					beats <- w
				}
			}
		})
	}
	victim := workers[3]
	for n := 0; n < 2; {
		if <-beats == victim {
			n++
		}
	}
	go func() {
		for range beats {
		}
	}()
	if trouble {
		s.record.add("another writer replaces the entry of worker %s of %s: service desk, no field born", victim.id, victim.service)
		s.store.write("servers/"+victim.id, map[string]any{
			"service": "desk", "address": victim.address, "zone": victim.zone, "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1,
		})
	}
	time.Sleep(4 * time.Second)
	close(stop)
	background.Wait()
	broken := ""
	wrong := 0
	for _, w := range workers {
		for _, r := range w.runs() {
			if allowed := map[bool]string{true: "desk", false: "stock"}[strings.HasPrefix(r.path, "/order/")]; allowed != w.service {
				wrong++
				broken = fmt.Sprintf("ROUTE: %d requests ran at a service to which no configuration allows them to go, the last %s (%s) at worker %s of %s", wrong, r.id, r.path, w.id, w.service)
			}
		}
	}
	return broken
}
