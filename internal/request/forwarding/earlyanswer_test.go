package forwarding

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

const (
	// smallUpload is written before the answer is read, largeUpload beside it.
	smallUpload = 6 << 10
	largeUpload = 1 << 20
	// readUpload is the part of an upload that an early answer waits for.
	readUpload = 1 << 10
	// earlyTries is how often each form of an early answer is sent.
	earlyTries = 5
)

// earlyUpstream answers before it has read the upload.
type earlyUpstream struct {
	// head is the status line with the fields that delimit the body, but for the length.
	head string
	// delimited is true if the body has a length, or chunks if chunked is true. Otherwise
	// only the end of the connection delimits it.
	delimited, chunked bool
	body               string
	// ended is true if the body is complete.
	ended bool
	// before reads from the connection before the answer is written.
	before func(*http.Request)
	// after ends the connection after the answer was written.
	after func(*net.TCPConn)
}

// serve answers the first request on a connection and closes it.
func (u earlyUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	u.before(r)
	fields := "Seal: seal-of-u-1\r\nContent-Type: text/event-stream\r\nRequest-Id: " + r.Header.Get(testNames.RequestID) + "\r\n"
	_, _ = io.WriteString(c, u.head+fields+u.framedBody())
	if tcp, ok := c.(*net.TCPConn); ok {
		u.after(tcp)
	}
}

// framedBody returns the end of the head and the body.
func (u earlyUpstream) framedBody() string {
	switch {
	case u.chunked && u.ended:
		return fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n\r\n", len(u.body), u.body)
	case u.chunked:
		return fmt.Sprintf("\r\n%x\r\n%s\r\n", len(u.body), u.body)
	case u.delimited && u.ended:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(u.body), u.body)
	case u.delimited:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(u.body)+1, u.body)
	default:
		return "\r\n" + u.body
	}
}

// framings are upstreams by the framing of their answers.
func framings() map[string]earlyUpstream {
	const success = "HTTP/1.1 200 OK\r\n"
	return map[string]earlyUpstream{
		"no length":         {head: success},
		"connection: close": {head: success + "Connection: close\r\n"},
		"HTTP 1.0":          {head: "HTTP/1.0 200 OK\r\n"},
		"length":            {head: success, delimited: true},
		"chunks":            {head: success + "Transfer-Encoding: chunked\r\n", delimited: true, chunked: true},
	}
}

// cutEarlyAnswers are upstreams that send a part of an early answer and let the system
// reset the connection, by the form of both.
func cutEarlyAnswers() map[string]earlyUpstream {
	moments := map[string]func(*http.Request){
		"at once":      func(*http.Request) {},
		"after a part": func(r *http.Request) { _, _ = io.CopyN(io.Discard, r.Body, readUpload) },
		"after a part, paused": func(r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, readUpload)
			time.Sleep(10 * time.Millisecond)
		},
	}
	endings := map[string]func(*net.TCPConn){
		"reset":       rawanswer.Reset,
		"reset later": func(c *net.TCPConn) { time.Sleep(10 * time.Millisecond); rawanswer.Reset(c) },
		"unread":      func(*net.TCPConn) {},
	}
	upstreams := make(map[string]earlyUpstream)
	for framing, u := range framings() {
		for moment, before := range moments {
			for ending, after := range endings {
				u.before, u.after = before, after
				upstreams[framing+"/"+moment+"/"+ending] = u
			}
		}
	}
	return upstreams
}

// earlyRoute is a kind of route with a body.
type earlyRoute struct {
	name       string
	repeatable bool
	// body is what the upstream sends of an answer, rest what a complete one has after it.
	body, rest string
	// sound is the answer of another upstream.
	sound http.HandlerFunc
}

func earlyRoutes() []earlyRoute {
	return []earlyRoute{
		{"look", true, "part", " and rest", answerWith(http.StatusOK, "sound")},
		{"order", false, "part", " and rest", answerWith(http.StatusOK, "sound")},
		{"match", true, events(1, 2), event(3), streamEvents(1, 3, false)},
		{"draft", false, events(1, 2), event(3), streamEvents(1, 3, false)},
	}
}

// earlyResult is what became of a request that was answered early.
type earlyResult struct {
	status int
	body   string
	// err is the error of reading the response.
	err error
	// others is the number of requests that the other upstream got.
	others int32
	// incomplete is the number of answers that the router counted as incomplete.
	incomplete int64
	// failures are the lines of failed attempts in the router's log.
	failures []string
}

// complete reports whether the caller got a successful and complete response.
func (r earlyResult) complete() bool { return r.err == nil && isSuccess(r.status) }

// sendEarly sends a request with a body of the size to the upstream, beside which there is
// another one.
func sendEarly(t *testing.T, u earlyUpstream, route earlyRoute, size int) earlyResult {
	t.Helper()
	var others atomic.Int32
	h := newHarness(t)
	scope := tally.NewTestScope("", nil)
	h.forwarder.Metrics = NewMetrics(scope)
	var log lineLog
	h.forwarder.Log = eventlog.New(&log, zerolog.InfoLevel, "router")
	h.addUpstream(0, serveConnections(t, u.serve))
	h.addHandler(1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		others.Add(1)
		route.sound(w, r)
	}))
	response := h.do(h.request(http.MethodPost, "/"+route.name+"/x", strings.Repeat("x", size)))
	body, err := io.ReadAll(response.Body)
	return earlyResult{
		status: response.StatusCode, body: string(body), err: err, others: others.Load(),
		incomplete: countOf(scope, "forward.incomplete_answers+"), failures: log.linesWith(`"name":"attempt_failed"`),
	}
}

// countOf returns the value of the counter, 0 if it was not used.
func countOf(scope tally.TestScope, name string) int64 {
	if counter, ok := scope.Snapshot().Counters()[name]; ok {
		return counter.Value()
	}
	return 0
}

// forEachEarly runs the function for each upstream, kind of route and size of an upload.
func forEachEarly(t *testing.T, upstreams map[string]earlyUpstream, run func(t *testing.T, u earlyUpstream, route earlyRoute, size int)) {
	for form, u := range upstreams {
		for _, route := range earlyRoutes() {
			for _, size := range []int{smallUpload, largeUpload} {
				t.Run(fmt.Sprintf("%s/%s/%d", form, route.name, size), func(t *testing.T) {
					t.Parallel()
					run(t, u, route, size)
				})
			}
		}
	}
}

// Guards against a part of an early answer that is passed on as complete: the upstream reset
// the connection while the request was being written. The system reports a reset once; where
// the write got it, the read beside it got a plain end. What may be repeated is answered by
// another upstream; what may not is sent once.
func TestEarlyAnswerThatAResetCutsIsNotComplete(t *testing.T) {
	forEachEarly(t, cutEarlyAnswers(), func(t *testing.T, u earlyUpstream, route earlyRoute, size int) {
		u.body = route.body
		passedOn := 0
		for range earlyTries {
			result := sendEarly(t, u, route, size)
			switch {
			case result.complete() && (!route.repeatable || result.others == 0):
				passedOn++
				continue
			case route.repeatable:
				require.True(t, result.complete(), "%+v", result)
				require.Contains(t, []string{"sound", events(1, 3)}, result.body)
				require.EqualValues(t, 1, result.others)
			default:
				require.NotContains(t, result.body, `"not_run"`)
				require.Zero(t, result.others, "the request may have run")
			}
			require.EqualValues(t, 1, result.incomplete)
			require.Len(t, result.failures, 1)
			require.Contains(t, result.failures[0], `"request_id":"`+testID+`"`)
			require.Regexp(t, "connection reset by peer|unexpected EOF", result.failures[0])
		}
		require.Zero(t, passedOn, "cut answers passed on as complete, of %d", earlyTries)
	})
}

// soundEarlyAnswers are upstreams that send a complete early answer and close the connection
// properly, by the form of both.
func soundEarlyAnswers() map[string]earlyUpstream {
	upstreams := make(map[string]earlyUpstream)
	for framing, u := range framings() {
		u.before = func(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
		u.after = func(*net.TCPConn) {}
		upstreams[framing+"/upload read, closed"] = u
		u.before = func(*http.Request) {}
		u.after = rawanswer.CloseAndRead
		upstreams[framing+"/closed, upload read"] = u
		u.after = func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(10 * time.Millisecond) }
		upstreams[framing+"/closed, upload not read"] = u
		if u.delimited {
			u.after = func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
			upstreams[framing+"/upload read, kept open"] = u
		}
	}
	return upstreams
}

// Guards against a complete early answer that is refused, since the rest of its request could
// not be written or was not read.
func TestEarlyAnswerWhoseConnectionEndsProperlyIsComplete(t *testing.T) {
	forEachEarly(t, soundEarlyAnswers(), func(t *testing.T, u earlyUpstream, route earlyRoute, size int) {
		u.body, u.ended = route.body+route.rest, true
		for range earlyTries {
			result := sendEarly(t, u, route, size)
			require.True(t, result.complete(), "%+v", result)
			require.Equal(t, u.body, result.body)
			require.Zero(t, result.others)
			require.Zero(t, result.incomplete)
			require.Empty(t, result.failures)
		}
	})
}
