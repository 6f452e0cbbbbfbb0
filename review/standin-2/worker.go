package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requestIn is a request as a worker received it.
type requestIn struct {
	*http.Request
	id   string
	body []byte
	conn net.Conn
	in   *bufio.Reader
}

// worker is a stand-in for a worker. handle answers each request on its channel.
type worker struct {
	id, address, service string
	born                 int64
	listener             net.Listener
	sequence             atomic.Int64
	handle               func(w *worker, r *requestIn) (keep bool)
	// readBody is false if handle reads the body itself.
	readBody bool

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newWorker(id, ip, service string, handle func(*worker, *requestIn) bool) (*worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: l.Addr().String(), service: service, born: time.Now().UnixMilli(), listener: l, handle: handle,
		readBody: true, open: make(map[net.Conn]struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.open[c] = struct{}{}
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return w, nil
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.open, c)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		q := &requestIn{Request: r, id: r.Header.Get("X-Flamingohold-Attempt-Id"), conn: c, in: in}
		if expected := r.Header.Get("X-Flamingohold-Expect-Instance"); expected != "" && expected != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Flamingohold-Not-Run: 1\r\nX-Flamingohold-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			return
		}
		if w.readBody {
			if q.body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		if !w.handle(w, q) {
			return
		}
	}
}

// answer writes a complete answer.
func (w *worker) answer(q *requestIn, status int, body string, more ...string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Response-Seal: %s.%s\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), q.id, w.id, q.id, len(body))
	if len(more) > 0 {
		head += strings.Join(more, "\r\n") + "\r\n"
	}
	_, err := io.WriteString(q.conn, head+"\r\n"+body)
	return err == nil
}

func (w *worker) entry(zone, state string, slots int) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "stage": "unified", "models": []any{}, "sequence": w.sequence.Load(), "born": w.born,
	}
}
