package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// idleChannels is the number of channels that one client opens and doesn't use. It is
	// smaller than the number of descriptors of the router's machine, which is 4,100.
	idleChannels = 2900
	// contact is the bound contact_ms, and tries the number of clients that try.
	contact = 3 * time.Second
	tries   = 8
)

// minDescriptors is the number of descriptors that this program and the router may open
// each, if the case is to say anything.
const minDescriptors = 4100

// newChannels holds when new channels of clients were taken, and when the router was ready.
type newChannels struct {
	mu sync.Mutex
	// taken holds the times at which a client got an answer on a new channel, and tried
	// those at which one began to try, by client.
	taken []time.Time
	tried map[int][]time.Time
	// unready holds the times at which the router didn't say that it is ready.
	unready []time.Time
}

// fullOfIdleChannels lets one client open many channels without a request.
func fullOfIdleChannels(b *bed, trouble bool) bool {
	var limit syscall.Rlimit
	check(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	if limit.Max < minDescriptors {
		check(fmt.Errorf("%d descriptors are too few", limit.Max))
	}
	b.configure(
		[]map[string]any{{
			"name": "book-pay", "host": "hire.example", "path_prefix": "/pay/", "kind": "non_idempotent", "service": "hire-app",
			"timeout_ms": orderTimeout.Milliseconds(), "target_latency_ms": 100, "max_attempts": 2, "priority": 2,
		}},
		[]map[string]any{{"name": "hire-app", "health_path": "/health", "max_conns": 100}},
	)
	for n := range 3 {
		d := &desk{id: fmt.Sprintf("i-%d", n+1), bed: b, runs: map[string]int{}, quiet: true}
		serve(b.address(41+n, workerPort), d)
		b.list(d.id, "hire-app", b.address(41+n, workerPort), "ready", time.Now().UnixMilli(), 6)
	}
	for _, m := range []int{11, 12} {
		b.launch(m)
	}
	b.awaitReady(11)
	b.awaitReady(12)
	end := time.Now().Add(20 * time.Second)
	seen := &newChannels{tried: map[int][]time.Time{}}
	var all sync.WaitGroup
	all.Go(func() { b.probeUntil(end, 11, seen) })
	for n := range tries {
		all.Go(func() { b.payOnce(end, 11, n, seen) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		b.log("one client begins to open %d channels to router 11, and sends nothing on them", idleChannels)
		for range idleChannels {
			go b.holdUntil(end, 11)
			time.Sleep(500 * time.Microsecond)
		}
	}
	all.Wait()
	return b.judgeNewChannels(end, seen)
}

// judgeNewChannels reports whether no span of contact_ms has passed in which the router was
// ready and took no new channel, while seven clients or more tried.
func (b *bed) judgeNewChannels(end time.Time, seen *newChannels) bool {
	longest, clients := time.Duration(0), 0
	borders := append(append([]time.Time{}, seen.taken...), seen.unready...)
	for _, from := range append(borders, b.start) {
		to := end
		for _, t := range borders {
			if t.After(from) && t.Before(to) {
				to = t
			}
		}
		if span := to.Sub(from); span > longest {
			longest, clients = span, 0
			for _, times := range seen.tried {
				for _, t := range times {
					if t.After(from) && t.Before(to) {
						clients++
						break
					}
				}
			}
		}
	}
	b.log("%d new channels were taken; the longest time in which router 11 was ready and took none is %d ms, in which %d clients tried",
		len(seen.taken), longest.Milliseconds(), clients)
	return longest <= contact || clients < 7
}

// probeUntil asks once a second whether the router is ready, as the platform does.
func (b *bed) probeUntil(end time.Time, machine int, seen *newChannels) {
	for time.Now().Before(end) {
		if !b.isReady(machine) {
			b.log("router %d does not say that it is ready", machine)
			seen.mu.Lock()
			seen.unready = append(seen.unready, time.Now())
			seen.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// payOnce sends one order on each new channel.
func (b *bed) payOnce(end time.Time, machine, client int, seen *newChannels) {
	for n := 0; time.Now().Before(end); n++ {
		begun := time.Now()
		seen.mu.Lock()
		seen.tried[client] = append(seen.tried[client], begun)
		seen.mu.Unlock()
		status, err := b.payOnNewChannel(machine, fmt.Sprintf("pay-%d-%d", client, n))
		b.log("client %d tries a new channel to router %d: %d %v", client, machine, status, err)
		if err == nil {
			seen.mu.Lock()
			seen.taken = append(seen.taken, begun)
			seen.mu.Unlock()
		}
		time.Sleep(400 * time.Millisecond)
	}
}

func (b *bed) payOnNewChannel(machine int, id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", b.address(machine, frontPort), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(orderTimeout + late))
	_, _ = fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: hire.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody",
		idHeader, id, deadlineHeader, orderTimeout.Milliseconds())
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// holdUntil keeps one channel open, and opens it again when the router has closed it.
func (b *bed) holdUntil(end time.Time, machine int) {
	for time.Now().Before(end) {
		if c, err := net.DialTimeout("tcp", b.address(machine, frontPort), time.Second); err == nil {
			_ = c.SetReadDeadline(end)
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}
