package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// crowd is the number of channels of the client that isn't controlled, and
	// crowdPause the time between two of its requests, each on the next channel.
	crowd      = 24
	crowdPause = 5 * time.Millisecond
	// longPrefix is the size of its header X-Flamingohold-Prompt-Prefix in bytes. The
	// whole header of a request is smaller than max_header_bytes, which is 16,384.
	longPrefix = 15000
	prefixTime = 100 * time.Second
	// payers is the number of other clients of each router, and payPause the time between
	// an answer and the next order of one.
	payers   = 16
	payPause = 15 * time.Millisecond
	// restartDelay is the time until the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// maxLost is how many requests a machine may lose.
	maxLost = 3
)

// losses counts the orders that a router passed on and ended without an answer.
type losses struct {
	mu     sync.Mutex
	sent   int
	orders map[int][]string
}

// longPrefixes lets one client send short generations whose prompts have long names.
func longPrefixes(b *bed, trouble bool) bool {
	b.configure(
		[]map[string]any{
			{
				"name": "book-pay", "host": "hire.example", "path_prefix": "/pay/", "kind": "non_idempotent", "service": "hire-app",
				"timeout_ms": orderTimeout.Milliseconds(), "target_latency_ms": 100, "max_attempts": 2, "priority": 2,
			},
			{
				"name": "stand-match", "host": "hire.example", "path_prefix": "/match/", "kind": "streaming", "service": "lm-pool", "sticky": true,
				"timeout_ms": 6000, "target_latency_ms": 1500, "max_attempts": 2, "priority": 0, "resumable": true, "gap_aim_ms": 180,
			},
		},
		[]map[string]any{
			{"name": "hire-app", "health_path": "/health", "max_conns": 100},
			{"name": "lm-pool", "health_path": "/health", "max_conns": 242, "engine": map[string]any{
				"slots": slots, "kv_tokens": memoryTokens, "kv_bytes": 163840, "link_mbps": 24000, "moves": true, "stride": eventTokens,
			}},
		},
	)
	desks := []*desk{}
	for n := range 3 {
		d := &desk{id: fmt.Sprintf("i-%d", n+1), bed: b, runs: map[string]int{}, quiet: true}
		serve(b.address(41+n, workerPort), d)
		b.list(d.id, "hire-app", b.address(41+n, workerPort), "ready", time.Now().UnixMilli(), 6)
		desks = append(desks, d)
	}
	for n := range 3 {
		b.startEngine(31 + n)
	}
	routers := []int{11, 12}
	for _, m := range routers {
		b.launch("router", m, "")
	}
	for _, m := range routers {
		b.awaitReady(m)
	}
	lost := &losses{orders: map[int][]string{}}
	end := time.Now().Add(prefixTime)
	var all sync.WaitGroup
	for _, m := range routers {
		all.Go(func() { b.limitMemory(end, m) })
		for n := range payers {
			all.Go(func() { b.payUntil(end, m, n, desks, lost) })
		}
	}
	time.Sleep(2 * time.Second)
	size := 0
	if trouble {
		size = longPrefix
	}
	b.log("one client begins to send 200 short generations a second to router 11, with %d bytes in X-Flamingohold-Prompt-Prefix", size+40)
	for n := range crowd {
		all.Go(func() { b.matchUntil(end, 11, n, size) })
		time.Sleep(crowdPause)
	}
	all.Wait()
	held := true
	for _, m := range routers {
		b.log("router %d: %d orders were passed on to a sound worker from a kept channel, and their channel ended without an answer: %s",
			m, len(lost.orders[m]), strings.Join(lost.orders[m], " "))
		held = held && len(lost.orders[m]) <= maxLost
	}
	b.log("%d orders were sent", lost.sent)
	return held
}

// limitMemory ends the router at the machine when it exceeds the machine's memory, and
// starts it again, as the platform does.
func (b *bed) limitMemory(end time.Time, machine int) {
	logged := time.Now()
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		p := b.latest(machine)
		used := ownMemory(p.Process.Pid)
		if time.Since(logged) > 5*time.Second {
			b.log("router %d uses %d MB", machine, used>>20)
			logged = time.Now()
		}
		if used <= memoryMB<<20 {
			continue
		}
		b.log("router %d uses %d MB, more than memory_mb, and is killed", machine, used>>20)
		_ = p.Process.Signal(syscall.SIGKILL)
		<-p.exited
		time.Sleep(restartDelay)
		b.launch("router", machine, "")
	}
}

// latest returns the process that was started last at the machine.
func (b *bed) latest(machine int) *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.processes) - 1; ; i-- {
		if b.processes[i].machine == machine {
			return b.processes[i]
		}
	}
}

// ownMemory returns the memory of a process in bytes, without its program file.
func ownMemory(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// payUntil sends orders on a kept channel, one after another.
func (b *bed) payUntil(end time.Time, machine, client int, desks []*desk, lost *losses) {
	body := bytes.Repeat([]byte("x"), 600)
	for n, kept := 0, 0; time.Now().Before(end); kept = 0 {
		c, err := net.DialTimeout("tcp", b.address(machine, frontPort), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(c)
		for ; time.Now().Before(end); kept++ {
			n++
			id := fmt.Sprintf("pay-%d-%d-%d", machine, client, n)
			_, _ = fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: hire.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s",
				idHeader, id, deadlineHeader, orderTimeout.Milliseconds(), len(body), body)
			_ = c.SetReadDeadline(time.Now().Add(orderTimeout + late))
			r, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, r.Body)
			}
			lost.mu.Lock()
			lost.sent++
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				ran := 0
				for _, d := range desks {
					ran += d.runCount(id)
				}
				b.log("the channel of client %d to router %d ends without an answer to %s: %v; workers ran it %d times", client, machine, id, err, ran)
				if ran > 0 && kept > 0 {
					lost.orders[machine] = append(lost.orders[machine], id)
				}
			}
			lost.mu.Unlock()
			if err != nil || r.Close {
				break
			}
			time.Sleep(payPause)
		}
		_ = c.Close()
	}
}

// matchUntil sends short generations on a kept channel. Their prompts have 20 tokens in two
// parts; the name of the first one is longer by the given size.
func (b *bed) matchUntil(end time.Time, machine, client, size int) {
	n := 0
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", b.address(machine, frontPort), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(c)
		for time.Now().Before(end) {
			n++
			next := time.Now().Add(crowd * crowdPause)
			_, _ = fmt.Fprintf(c, "POST /match/x HTTP/1.1\r\nHost: hire.example\r\n%s: match-%d-%d\r\n%s: 6000\r\nAuthorization: Bearer key-1\r\nX-Flamingohold-Model: m\r\n"+
				"X-Flamingohold-Token-Counts: 20,12\r\nX-Flamingohold-Prompt-Prefix: %08x%s:10,%08x:10\r\nContent-Length: 0\r\n\r\n",
				idHeader, client, n, deadlineHeader, client<<20+n, strings.Repeat("a", size), 1<<30+client<<20+n)
			_ = c.SetReadDeadline(time.Now().Add(7 * time.Second))
			r, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, r.Body)
			}
			if err != nil || r.Close {
				break
			}
			time.Sleep(time.Until(next))
		}
		_ = c.Close()
	}
}
