package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

const (
	// crashWorkers is the number of workers, of which one crashes at a time: 0.143 of them.
	crashWorkers = 7
	// restarts is how often a worker crashes, and restartPause the time between.
	restarts     = 8
	restartPause = 3 * time.Second
	answerBytes  = 800
	events       = 40
	eventPause   = 20 * time.Millisecond
)

// wholeBody is the body of the answer to an order.
func wholeBody(id string) string {
	return id + strings.Repeat("-", answerBytes-len(id)-4) + "end\n"
}

// restartedWorker is the program of a worker in a process of its own. Its answers have no
// length and end with their channel. Where the order's path ends with "crash", it prints
// a line in the middle of the answer and waits to be killed. The line "listening" says that
// it accepts connections.
func restartedWorker(address, id string) {
	l, err := net.Listen("tcp", address)
	check(err)
	fmt.Println("listening")
	check(http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(idHeader)
		if r.Header.Get(expectHeader) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		fmt.Println("runs", request)
		crash := strings.HasSuffix(r.URL.Path, "crash")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nConnection: close\r\n", idHeader, request, sealHeader, id)
		if strings.HasPrefix(r.URL.Path, "/draft/") {
			_, _ = io.WriteString(c, "Content-Type: text/event-stream\r\n\r\n")
			for n := 1; n <= events; n++ {
				_, _ = fmt.Fprintf(c, "id: %d\ndata: %s %d\n\n", n, request, n)
				if crash && n == events/2 {
					fmt.Println("half", request)
					select {}
				}
				time.Sleep(eventPause)
			}
			return
		}
		body := wholeBody(request)
		_, _ = io.WriteString(c, "\r\n"+body[:answerBytes/2])
		if crash {
			fmt.Println("half", request)
			select {}
		}
		time.Sleep(15 * time.Millisecond)
		_, _ = io.WriteString(c, body[answerBytes/2:])
	})))
}

// startWorker starts the worker and returns its process and its lines.
func (b *bed) startWorker(address, id string) (*process, <-chan string) {
	c := exec.Command(os.Args[0], "worker", address, id)
	out, err := c.StdoutPipe()
	check(err)
	c.Stderr = os.Stderr
	check(c.Start())
	p := &process{Cmd: c, exited: make(chan struct{})}
	lines := make(chan string, 100)
	go func() {
		s := bufio.NewScanner(out)
		for s.Scan() {
			b.log("worker %s: %s", id, s.Text())
			lines <- s.Text()
		}
		_ = c.Wait()
		close(p.exited)
		close(lines)
	}()
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	return p, lines
}

// crashInAnswer lets a worker crash in the middle of an answer that has no length, and start
// again at once at its address.
func crashInAnswer(b *bed, trouble bool) bool {
	b.configure(
		[]map[string]any{
			{
				"name": "book-pay", "host": "hire.example", "path_prefix": "/pay/", "kind": "non_idempotent", "service": "hire-app",
				"timeout_ms": orderTimeout.Milliseconds(), "target_latency_ms": 100, "max_attempts": 2, "priority": 2,
			},
			{
				"name": "draft", "host": "hire.example", "path_prefix": "/draft/", "kind": "streaming", "service": "hire-app",
				"timeout_ms": 6000, "target_latency_ms": 1500, "max_attempts": 1, "priority": 1, "gap_aim_ms": 180,
			},
		},
		[]map[string]any{{"name": "hire-app", "health_path": "/health", "max_conns": 100}},
	)
	b.launch(11)
	workers := make([]*restarting, crashWorkers)
	halves := make(chan *restarting, crashWorkers)
	for n := range workers {
		workers[n] = &restarting{bed: b, address: b.address(41+n, workerPort), name: fmt.Sprintf("i-%d", n+1), halves: halves}
		workers[n].start()
	}
	b.awaitReady(11)
	held := true
	for n := range restarts {
		time.Sleep(restartPause)
		path, id := "/pay/", fmt.Sprintf("pay-%d", n)
		if n%2 == 1 {
			path, id = "/draft/", fmt.Sprintf("draft-%d", n)
		}
		if trouble {
			path += "crash"
		}
		answered := make(chan bool, 1)
		go func() { answered <- b.isWhole(11, path, id) }()
		if trouble {
			select {
			case w := <-halves:
				time.Sleep(50 * time.Millisecond)
				w.crash()
			case <-time.After(5 * time.Second):
				check(fmt.Errorf("%s did not reach a worker", id))
			}
		}
		held = <-answered && held
	}
	return held
}

// restarting is a worker that starts again when it has crashed, each time as a new boot with
// a new id.
type restarting struct {
	bed           *bed
	address, name string
	boot          int
	process       *process
	// halves receives the worker in the middle of an answer.
	halves chan<- *restarting
}

func (w *restarting) id() string { return fmt.Sprintf("%s-%d", w.name, w.boot) }

// start starts the worker and writes its entry to the store.
func (w *restarting) start() {
	w.boot++
	var lines <-chan string
	w.process, lines = w.bed.startWorker(w.address, w.id())
	if l := <-lines; l != "listening" {
		check(fmt.Errorf("worker %s does not start: %s", w.id(), l))
	}
	go func() {
		for l := range lines {
			if strings.HasPrefix(l, "half") {
				w.halves <- w
			}
		}
	}()
	w.bed.list(w.id(), "hire-app", w.address, "ready", time.Now().UnixMilli(), 6)
}

// crash kills the worker and starts it again at once.
func (w *restarting) crash() {
	killed, id := time.Now(), w.id()
	_ = w.process.Process.Signal(syscall.SIGKILL)
	<-w.process.exited
	// The store drops the entry after three liveness report intervals of silence.
	time.AfterFunc(3*heartbeat, func() { w.bed.store.put("servers/"+id, nil) })
	w.start()
	w.bed.log("worker %s crashed and accepts connections as %s %d ms later", id, w.id(), time.Since(killed).Milliseconds())
}

// isWhole sends a request on a new channel. It reports whether the answer is whole, or does
// not look complete.
func (b *bed) isWhole(machine int, path, id string) bool {
	c, err := net.DialTimeout("tcp", b.address(machine, frontPort), time.Second)
	if err != nil {
		b.log("the client gets no channel for %s: %v", id, err)
		return true
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(7 * time.Second))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: hire.example\r\n%s: %s\r\n%s: 6000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody",
		path, idHeader, id, deadlineHeader)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		b.log("the client gets no answer to %s: %v", id, err)
		return true
	}
	body, err := io.ReadAll(r.Body)
	want := wholeBody(id)
	if strings.HasPrefix(path, "/draft/") {
		var all strings.Builder
		for n := 1; n <= events; n++ {
			fmt.Fprintf(&all, "id: %d\ndata: %s %d\n\n", n, id, n)
		}
		want = all.String()
	}
	complete := err == nil && r.StatusCode == http.StatusOK && r.Header.Get(sealHeader) != ""
	b.log("the client gets %d for %s, with %d of %d bytes; looks complete: %v", r.StatusCode, id, len(body), len(want), complete)
	return !complete || string(body) == want
}
