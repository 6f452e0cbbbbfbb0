package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// tokenTime is the time that the crowded engine needs for one token, and
	// tokensPerEvent the number of tokens in one event.
	tokenTime      = 18 * time.Millisecond
	tokensPerEvent = 4
	firstToken     = 1200 * time.Millisecond
)

// streamAnswer streams the number of tokens that the request allows.
func streamAnswer(w **worker) func(rw http.ResponseWriter, r *http.Request, body []byte) {
	return func(rw http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("X-Flamingohold-Attempt-Id")
		var prompt, output int
		_, _ = fmt.Sscanf(r.Header.Get("X-Flamingohold-Token-Counts"), "%d,%d", &prompt, &output)
		rw.Header().Set("X-Flamingohold-Response-Seal", (*w).seal(id))
		rw.Header().Set("Content-Type", "text/event-stream")
		select {
		case <-r.Context().Done():
			return
		case <-time.After(firstToken):
		}
		for n := 1; n <= (output+tokensPerEvent-1)/tokensPerEvent; n++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
				(*w).record.add("worker %s: request %s ends early after %d events", (*w).id, id, n)
				return
			}
			rw.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				(*w).record.add("worker %s: request %s ends early after %d events", (*w).id, id, n)
				return
			case <-time.After(tokensPerEvent * tokenTime):
			}
		}
		(*w).record.add("worker %s: request %s complete", (*w).id, id)
	}
}

// channel is a client's channel, which is kept for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func open(r *router) *channel {
	c, err := net.Dial("tcp", r.callers)
	check(err)
	return newChannel(c)
}

func newChannel(c net.Conn) *channel { return &channel{c, bufio.NewReader(c)} }

func (c *channel) ask(path, id string, deadline time.Duration, tokens string) error {
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Flamingohold-Attempt-Id: %s\r\nX-Flamingohold-Model: m\r\nX-Flamingohold-Token-Counts: %s\r\n"+
		"X-Flamingohold-Prompt-Prefix: 5c1e07a2:79,%s:250\r\nX-Flamingohold-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody",
		path, id, tokens, id[8:], deadline.Milliseconds(), clientKey)
	return err
}

// answer reads an answer completely.
func (c *channel) answer() (status, events int, header http.Header, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.Count(string(body), "\n\n"), response.Header, err
}

// answerClosing is answer with whether the channel closes after it.
func (c *channel) answerClosing() (status int, header http.Header, closing bool, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, true, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header, response.Close, err
}

// termCase: a router gets SIGTERM while engines are crowded.
func termCase(s *system, trouble bool) string {
	var w *worker
	w = startWorker(s.record, "i-1", "pool", "zg-a", "127.0.2.1", nil)
	w.answer = streamAnswer(&w)
	s.configure(10, []route{{Name: "draft", Host: "a.example", PathPrefix: "/draft/", Kind: "streaming", Service: "pool", TimeoutMS: 39000, TargetMS: 1800, MaxAttempts: 1, Sticky: true, GapAimMS: 180}})
	s.store.write("servers/"+w.id, w.entry("ready"))
	s.addRouters(2)
	s.awaitReady()
	var mu sync.Mutex
	broken := ""
	var running sync.WaitGroup
	channels := make([]*channel, 8)
	var first sync.WaitGroup
	for i := range channels {
		channels[i] = open(s.routers[0])
		first.Go(func() {
			id := fmt.Sprintf("9c41d07be2a3%04x", i)
			err := channels[i].ask("/draft/1", id, 39*time.Second, "300,8")
			if err == nil {
				_, _, _, err = channels[i].answer()
			}
			s.record.add("client: first request %s on its channel: error %v", id, err)
		})
	}
	first.Wait()
	// A long draft in progress, as a router has at most times, keeps the process until the
	// end of its notice.
	long := open(s.routers[0])
	check(long.ask("/draft/1", "9c41d07be2a50000", 39*time.Second, "3000,900"))
	time.Sleep(time.Second)
	start := time.Now()
	if trouble {
		check(s.routers[0].command.Process.Signal(syscall.SIGTERM))
		s.record.add("SIGTERM to %s", s.routers[0].name)
	}
	for i, c := range channels {
		running.Go(func() {
			id := fmt.Sprintf("9c41d07be2a4%04x", i)
			at := 3200*time.Millisecond + time.Duration(i)*300*time.Millisecond
			time.Sleep(time.Until(start.Add(at)))
			tokens := 300 - 30*i
			sent := time.Now()
			err := c.ask("/draft/1", id, 39*time.Second, fmt.Sprintf("300,%d", tokens))
			s.record.add("client: request %s sent %.2f s after the SIGTERM, at most %d tokens out, error %v", id, sent.Sub(start).Seconds(), tokens, err)
			status, events, header, err := c.answer()
			s.record.add("client: request %s after %.2f s: status %d, seal %q, retry after %q, %d events, error %v", id, time.Since(sent).Seconds(), status,
				header.Get("X-Flamingohold-Response-Seal"), header.Get("Retry-After"), events, err)
			if err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range w.runs() {
				if r.id == id {
					broken = fmt.Sprintf("LOST: request %s, sent %.2f s after the SIGTERM and passed on to a worker, got no complete answer", id, sent.Sub(start).Seconds())
				}
			}
		})
	}
	running.Wait()
	return broken
}
