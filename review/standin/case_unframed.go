package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	// wholeBody is a worker's whole answer to an order.
	wholeBody = `{"order":"A-4711","items":["card 1","card 2"],"total_nok":1240,"pickup":"07:30"}`
	// plainWorkers is the number of workers, and spoilingWorkers the number of those of
	// which one answer in unframedEvery has no length: 4 of 7, 1 of 34.
	plainWorkers, spoilingWorkers, unframedEvery = 7, 4, 34
	// answerPause is the pause in the middle of an answer without a length, and killAfter
	// the time after which the worker is killed in it.
	answerPause, killAfter = 200 * time.Millisecond, 80 * time.Millisecond
	maxOrders              = 1500
)

// plainWorker is a worker as a process of its own. It prints its address, and a line
// for each answer without a length. spoils is "1" if it gives such answers.
func plainWorker(id, spoils string) {
	l, err := net.Listen("tcp", "127.0.2.1:0")
	check(err)
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		check(err)
		go servePlainChannel(id, spoils == "1", c)
	}
}

var answers = make(chan int, 1)

func init() { answers <- 0 }

func servePlainChannel(id string, spoils bool, c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := reader.Discard(int(r.ContentLength)); err != nil {
			return
		}
		attempt := r.Header.Get("X-Flamingohold-Attempt-Id")
		if r.Header.Get("X-Flamingohold-Expect-Instance") != id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		n := <-answers + 1
		answers <- n
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Response-Seal: %s.%s\r\nContent-Type: application/json\r\n", attempt, id, attempt)
		if !spoils || n%unframedEvery != 0 {
			_, _ = fmt.Fprintf(c, "%sContent-Length: %s\r\n\r\n%s", head, strconv.Itoa(len(wholeBody)), wholeBody)
			continue
		}
		fmt.Println("unframed", attempt)
		_, _ = fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head, wholeBody[:len(wholeBody)/2])
		time.Sleep(answerPause)
		_, _ = fmt.Fprint(c, wholeBody[len(wholeBody)/2:])
		return
	}
}

// unframedCase: a worker of the plain service is killed in the middle of an answer that has
// no length.
func unframedCase(s *system, trouble bool) string {
	program, err := os.Executable()
	check(err)
	s.configure(10, []route{{Name: "order", Host: "a.example", PathPrefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 1000, TargetMS: 100, MaxAttempts: 1}})
	unframed := make(chan *exec.Cmd, 100)
	for i := range plainWorkers {
		id := fmt.Sprintf("i-%d", i+1)
		command := exec.Command(program, "plain-worker", id, map[bool]string{true: "1", false: "0"}[i < spoilingWorkers])
		output, err := command.StdoutPipe()
		check(err)
		check(command.Start())
		s.workers = append(s.workers, command)
		lines := bufio.NewScanner(output)
		if !lines.Scan() {
			check(fmt.Errorf("worker %s has not started", id))
		}
		address := strings.TrimSpace(lines.Text())
		go func() {
			for lines.Scan() {
				s.record.add("worker %s: answer without a length to %s", id, strings.TrimPrefix(lines.Text(), "unframed "))
				unframed <- command
			}
		}()
		s.store.write("servers/"+id, map[string]any{
			"service": "desk", "address": address, "zone": []string{"zg-a", "zg-b", "zg-c"}[i%3], "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	s.addRouters(1)
	s.awaitReady()
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		for command := range unframed {
			if !trouble {
				continue
			}
			time.Sleep(killAfter)
			_ = command.Process.Kill()
			s.record.add("SIGKILL to the worker with process %d", command.Process.Pid)
			return
		}
	}()
	client := newClient()
	for range maxOrders {
		got := send(s.record, client, s.routers[0], "POST", "a.example", "/order/1", "body", time.Second)
		if got.err == nil && got.status/100 == 2 && got.body != wholeBody {
			s.record.add("client: request %s: Content-Length %q, body %q", got.id, got.header.Get("Content-Length"), got.body)
			return fmt.Sprintf("MIXED: request %s: the client got status %d with %d of the worker's %d bytes, framed as complete (valid JSON: %v)",
				got.id, got.status, len(got.body), len(wholeBody), json.Valid([]byte(got.body)))
		}
		select {
		case <-killed:
			return ""
		default:
		}
	}
	return ""
}
