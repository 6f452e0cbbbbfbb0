package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// reuseTime is how long the routers are stopped and started in turn, and startTime the
	// time after the start of one until the next one is stopped.
	reuseTime, startTime = 60 * time.Second, 1500 * time.Millisecond
	// misses is the number of failed readiness probes after which a router gets no new
	// channel.
	misses = 2
	// clients is the number of clients, and pause the mean time between two orders of one.
	clients, pause = 400, 100 * time.Millisecond
)

// rotation is the platform's balancer: it probes each router once a second.
type rotation struct {
	mu     sync.Mutex
	missed map[*router]int
	all    []*router
}

func (b *rotation) probe(stop chan struct{}) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for ticker := time.NewTicker(time.Second); ; {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, r := range b.all {
			ready := false
			if response, err := client.Get("http://" + r.ready + "/v1/readiness"); err == nil {
				ready = response.StatusCode == http.StatusOK
				_ = response.Body.Close()
			}
			b.mu.Lock()
			b.missed[r]++
			if ready {
				b.missed[r] = 0
			}
			b.mu.Unlock()
		}
	}
}

// choose returns the client's router, or another one if that is out of rotation.
func (b *rotation) choose(client int) *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.all {
		if r := b.all[(client+i)%len(b.all)]; b.missed[r] < misses {
			return r
		}
	}
	return b.all[0]
}

// reuseCase: routers are stopped and started in turn while clients send orders.
func reuseCase(s *system, trouble bool) string {
	var workers []*worker
	for i, zone := range []string{"zg-a", "zg-b", "zg-c"} {
		w := startWorker(s.record, fmt.Sprintf("i-%d", i+1), "desk", zone, "127.0.2.1", nil)
		w.quiet = true
		w.answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			rw.Header().Set("X-Flamingohold-Response-Seal", w.seal(r.Header.Get("X-Flamingohold-Attempt-Id")))
			time.Sleep(time.Duration(2+rand.IntN(8)) * time.Millisecond)
			_, _ = io.WriteString(rw, "done")
		}
		workers = append(workers, w)
		s.store.write("servers/"+w.id, w.entry("ready"))
	}
	s.configure(10, []route{{Name: "order", Host: "a.example", PathPrefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 1000, TargetMS: 100, MaxAttempts: 1}})
	s.addRouters(2)
	s.awaitReady()
	b := &rotation{missed: make(map[*router]int), all: s.routers}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { b.probe(stop) })
	type outcome struct {
		sent time.Time
		r    *router
		err  error
	}
	var mu sync.Mutex
	unanswered := make(map[string]outcome)
	var sent atomic.Int64
	for i := range clients {
		running.Go(func() {
			var c *channel
			var at *router
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
				}
				if c == nil {
					at = b.choose(i)
					conn, err := net.DialTimeout("tcp", at.callers, time.Second)
					if err != nil {
						continue
					}
					c = newChannel(conn)
				}
				id := fmt.Sprintf("%04x%012x", i, sent.Add(1))
				o := outcome{time.Now(), at, nil}
				err := c.ask("/order/1", id, time.Second, "0,0")
				var closing bool
				if err == nil {
					_, _, closing, err = c.answerClosing()
				}
				if err != nil {
					o.err = err
					mu.Lock()
					unanswered[id] = o
					mu.Unlock()
				}
				if err != nil || closing {
					_ = c.conn.Close()
					c = nil
				}
			}
		})
	}
	end := time.Now().Add(reuseTime)
	var stops []string
	for round := 0; time.Now().Before(end); round++ {
		if trouble {
			r := s.routers[round%len(s.routers)]
			s.record.add("SIGTERM to %s", r.name)
			check(r.command.Process.Signal(syscall.SIGTERM))
			_ = r.command.Wait()
			stops = append(stops, r.name)
			s.startRouter(r)
		}
		time.Sleep(startTime)
	}
	close(stop)
	running.Wait()
	lost := 0
	broken := ""
	for _, w := range workers {
		for _, r := range w.runs() {
			if o, found := unanswered[r.id]; found {
				lost++
				s.record.add("order %s to %s at %.3f s ran at worker %s and got no answer: %v", r.id, o.r.name, o.sent.Sub(s.record.start).Seconds(), r.worker, o.err)
				broken = fmt.Sprintf("LOST: %d of %d orders were read and passed on to a worker, and their channel ended without an answer, in %d stops", lost, sent.Load(), len(stops))
			}
		}
	}
	s.record.add("%d orders sent, %d without an answer", sent.Load(), len(unanswered))
	return broken
}
