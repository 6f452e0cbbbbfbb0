package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// wholeBody is the worker's whole answer to an order.
const wholeBody = `{"order":"A-4711","items":["card 1","card 2"],"total_nok":1240,"pickup":"07:30"}`

// dyingWorker is a worker as a process of its own. Its answers have no length and end with
// their channel. It sends each in two parts, 300 ms apart.
func dyingWorker(id, address string) {
	l, err := net.Listen("tcp", address)
	check(err)
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		check(err)
		go serveUnframed(id, c)
	}
}

func serveUnframed(id string, c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := reader.Discard(int(r.ContentLength)); err != nil {
		return
	}
	attempt := r.Header.Get("X-Flamingohold-Attempt-Id")
	if r.Header.Get("X-Flamingohold-Expect-Instance") != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Response-Seal: %s.%s\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n%s",
		attempt, id, attempt, wholeBody[:len(wholeBody)/2])
	time.Sleep(300 * time.Millisecond)
	_, _ = fmt.Fprint(c, wholeBody[len(wholeBody)/2:])
}

// unframedCase: a worker of the plain service is killed in the middle of its answer.
func unframedCase(s *system, trouble bool) string {
	program, err := os.Executable()
	check(err)
	s.configure(10, []route{{Name: "order", Host: "a.example", PathPrefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 1000, TargetMS: 100, MaxAttempts: 1}})
	command := exec.Command(program, "dying-worker", "i-1", "127.0.2.1:0")
	output, err := command.StdoutPipe()
	check(err)
	check(command.Start())
	s.workers = append(s.workers, command)
	address, err := bufio.NewReader(output).ReadString('\n')
	check(err)
	s.record.add("worker i-1 started, process %d", command.Process.Pid)
	s.store.write("servers/i-1", map[string]any{
		"service": "desk", "address": strings.TrimSpace(address), "zone": "zg-a", "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	s.addRouters(1)
	s.awaitReady()
	broken := ""
	for i := range 3 {
		if trouble && i == 2 {
			time.AfterFunc(150*time.Millisecond, func() {
				_ = command.Process.Kill()
				s.record.add("SIGKILL to worker i-1")
			})
		}
		got := send(s.record, newClient(), s.routers[0], "POST", "a.example", "/order/1", "body", time.Second)
		s.record.add("client: request %s: Content-Length %q, body %q", got.id, got.header.Get("Content-Length"), got.body)
		if got.err == nil && got.status/100 == 2 && got.body != wholeBody {
			broken = fmt.Sprintf("MIXED: request %s: the client got status %d with %d of the worker's %d bytes, framed as complete (valid JSON: %v)",
				got.id, got.status, len(got.body), len(wholeBody), json.Valid([]byte(got.body)))
		}
	}
	return broken
}
