package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	drainBound    = 2 * time.Second
	contact       = 3 * time.Second
	heartbeat     = 1200 * time.Millisecond
	disturbance   = 4500 * time.Millisecond
	lateBy        = 5600 * time.Millisecond
	lateBeforeEnd = 200 * time.Millisecond
)

// lateCase: for 4.5 s the store loses answers and does some writes late. One liveness
// report of a worker, "ready", is done 5.6 s late, after its "draining" was acknowledged.
func lateCase(s *system, trouble bool) string {
	var leaving sync.Map
	plain := func(w **worker) func(http.ResponseWriter, *http.Request, []byte) {
		return func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			if _, leaves := leaving.Load((*w).id); leaves {
				rw.Header().Set("Server-Leaving", "1")
			}
			rw.Header().Set("X-Flamingohold-Response-Seal", (*w).seal(r.Header.Get("X-Flamingohold-Attempt-Id")))
			time.Sleep(15 * time.Millisecond)
			_, _ = io.WriteString(rw, "done")
		}
	}
	var workers [3]*worker
	for i, zone := range []string{"zg-a", "zg-b", "zg-c"} {
		w := &workers[i]
		*w = startWorker(s.record, fmt.Sprintf("i-%d", i+1), "desk", zone, "127.0.2.1", nil)
		(*w).answer = plain(w)
		s.store.write("servers/"+(*w).id, (*w).entry("ready"))
	}
	s.configure(10, []route{{Name: "order", Host: "a.example", PathPrefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 1000, TargetMS: 100, MaxAttempts: 1}})
	s.addRouters(3)
	s.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, r := range s.routers {
		clients.Go(func() {
			client := newClient()
			for ticker := time.NewTicker(70 * time.Millisecond); ; {
				select {
				case <-stop:
					return
				case <-ticker.C:
					send(s.record, client, r, "POST", "a.example", "/order/1", "body", time.Second)
				}
			}
		})
		time.Sleep(time.Duration(i) * 20 * time.Millisecond)
	}
	leaver := workers[0]
	s.record.add("the store begins to lose answers, for %v", disturbance)
	end := time.Now().Add(disturbance)
	time.Sleep(time.Until(end.Add(-lateBeforeEnd)))
	stale := leaver.entry("ready")
	s.record.add("worker %s writes \"ready\", sequence %d: no answer", leaver.id, leaver.sequence)
	if trouble {
		time.AfterFunc(lateBy, func() {
			s.store.write("servers/"+leaver.id, stale)
			s.record.add("the store does that write now, %v late", lateBy)
		})
	} else {
		s.store.write("servers/"+leaver.id, stale)
	}
	// The later reports are done and acknowledged. Those that change nothing but the
	// sequence do not change the entry.
	time.Sleep(time.Until(end.Add(contact + 100*time.Millisecond)))
	draining := s.store.write("servers/"+leaver.id, leaver.entry("draining"))
	leaving.Store(leaver.id, true)
	s.record.add("worker %s: the store acknowledged \"draining\", sequence %d", leaver.id, leaver.sequence)
	for next := draining.Add(heartbeat); next.Before(draining.Add(5 * time.Second)); next = next.Add(heartbeat) {
		time.Sleep(time.Until(next))
		s.store.writeIfChanged("servers/"+leaver.id, leaver.entry("draining"))
	}
	close(stop)
	clients.Wait()
	late := 0
	broken := ""
	for _, r := range leaver.runs() {
		if after := r.at.Sub(draining); after > drainBound {
			late++
			broken = fmt.Sprintf("DRAIN: %d requests reached worker %s later than %v after \"draining\" was acknowledged, the last %s after %v", late, leaver.id, drainBound, r.id, after)
		}
	}
	return broken
}
