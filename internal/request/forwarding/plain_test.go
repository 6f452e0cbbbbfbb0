package forwarding

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func bodyOf(t *testing.T, r *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return string(body)
}

// Guards against requests and answers that the router alters, and against
// callers that set the system's own header fields.
func TestRequestAndAnswerArePassedOnUnchanged(t *testing.T) {
	var seen http.Header
	var uri, body, host string
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		seen, uri, body, host = r.Header.Clone(), r.RequestURI, string(content), r.Host
		w.Header()["X-Twice"] = []string{"a", "b"}
		answerWith(http.StatusCreated, "booked")(w, r)
	})
	request := h.request(http.MethodPost, "/order/a%2Fb?x=1&y=%20", "a stand")
	request.Header.Set("Custom", "kept")
	request.Header.Set("Connection", "Dropped")
	request.Header.Set("Dropped", "yes")
	for _, name := range []string{testNames.Account, testNames.ExpectUpstream, testNames.KVSource, testNames.KVBackup, "Reserved"} {
		request.Header.Set(name, "forged")
	}
	response := h.do(request)
	require.Equal(t, "booked", bodyOf(t, response))
	require.Equal(t, http.StatusCreated, response.StatusCode)
	require.Equal(t, []string{"a", "b"}, response.Header["X-Twice"])
	require.Equal(t, "seal-of-u-1", response.Header.Get(testNames.Seal))
	require.Equal(t, "/order/a%2Fb?x=1&y=%20", uri)
	require.Equal(t, "a stand", body)
	require.Equal(t, testHost, host)
	require.Equal(t, "kept", seen.Get("Custom"))
	require.Equal(t, "bakery", seen.Get(testNames.Account))
	require.Equal(t, "u-1", seen.Get(testNames.ExpectUpstream))
	for _, name := range []string{"Authorization", "Dropped", "Reserved", testNames.KVSource, testNames.KVBackup} {
		require.Empty(t, seen.Get(name), name)
	}
}

// Guards against an upstream that continues after its caller's deadline.
func TestTimeLeftIsPassedOn(t *testing.T) {
	left := make(chan string, 1)
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		left <- r.Header.Get(testNames.Deadline)
		answerWith(http.StatusOK, "")(w, r)
	})
	request := h.request(http.MethodGet, "/look/x", "")
	request.Header.Set(testNames.Deadline, "900")
	require.Equal(t, http.StatusOK, h.do(request).StatusCode)
	ms, err := strconv.Atoi(<-left)
	require.NoError(t, err)
	require.LessOrEqual(t, ms, 900)
	require.Greater(t, ms, 600)
}

func TestRequestsWithoutRouteOrValidKeyAreRejected(t *testing.T) {
	h := newHarness(t, answerWith(http.StatusOK, "ok"))
	cases := []struct {
		path, key string
		status    int
	}{
		{"/look/x", testKey, http.StatusOK},
		{"/open/x", "", http.StatusOK},
		{"/look/x", "", http.StatusUnauthorized},
		{"/look/x", "key-withdrawn", http.StatusUnauthorized},
		{"/looks", testKey, http.StatusNotFound},
		{"/nowhere/x", testKey, http.StatusNotFound},
	}
	for _, c := range cases {
		request := h.request(http.MethodGet, c.path, "")
		request.Header.Del("Authorization")
		if c.key != "" {
			request.Header.Set("Authorization", "Bearer "+c.key)
		}
		require.Equal(t, c.status, h.do(request).StatusCode, "%s with key %q", c.path, c.key)
	}
}

// Guards against a body above the configured limit that reaches an upstream.
func TestBodyIsBounded(t *testing.T) {
	h := newHarness(t, answerWith(http.StatusOK, "ok"))
	require.Equal(t, http.StatusOK, h.do(h.request(http.MethodPost, "/order/x", strings.Repeat("x", testMaxBody))).StatusCode)
	response := h.do(h.request(http.MethodPost, "/order/x", strings.Repeat("x", testMaxBody+1)))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}

// Guards against an order that runs twice: after a send with an unknown outcome
// there is no second send, and the response does not imply that the order has
// not run.
func TestOrderWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	for _, reset := range []bool{true, false} {
		var second atomic.Int32
		h := newHarness(t,
			func(w http.ResponseWriter, _ *http.Request) { closeConnection(w, reset) },
			func(http.ResponseWriter, *http.Request) { second.Add(1) })
		response := h.do(h.request(http.MethodPost, "/order/x", ""))
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Zero(t, second.Load())
	}
}

// Guards against a refusal that is passed on although another upstream would
// have run the order.
func TestOrderThatAnUpstreamDidNotRunIsSentToAnother(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNames.NotRun, "1")
			w.WriteHeader(status)
		}, answerWith(http.StatusOK, "booked"))
		response := h.do(h.request(http.MethodPost, "/order/x", ""))
		require.Equal(t, "booked", bodyOf(t, response), "after status %d", status)
	}
}

// Guards against an unproven "not run": without the header field, a 503 of the
// upstream does not state that the request has not run, so the caller must not
// receive a 503.
func TestUnavailableWithoutNotRunFieldIsNotPassedOn(t *testing.T) {
	h := newHarness(t, answerWith(http.StatusServiceUnavailable, ""))
	response := h.do(h.request(http.MethodPost, "/order/x", ""))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, response.Header.Get(testNames.Seal))
}

// Guards against a refusal without Retry-After, after which callers retry
// immediately or never.
func TestRefusalHasRetryAfter(t *testing.T) {
	h := newHarness(t)
	response := h.do(h.request(http.MethodPost, "/order/x", ""))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, after)
	require.Contains(t, bodyOf(t, response), `"outcome":"not_run"`)
}

// Guards against a failure that is passed on although the request is
// repeatable, and against more attempts than the route allows.
func TestIdempotentRequestIsRepeatedOnce(t *testing.T) {
	var calls atomic.Int32
	failing := func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answerWith(http.StatusInternalServerError, "from "+r.Header.Get(testNames.ExpectUpstream))(w, r)
	}
	h := newHarness(t, failing, failing, failing)
	response := h.do(h.request(http.MethodGet, "/look/x", ""))
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	body := bodyOf(t, response)
	require.NotEqual(t, "from u-1", body, "the last failure is passed on")
	require.Equal(t, "seal-of-"+strings.TrimPrefix(body, "from "), response.Header.Get(testNames.Seal))
	require.EqualValues(t, 2, calls.Load())
}

// Guards against an answer without a length that is accepted as complete after a
// connection reset, and against one that ended properly and is not accepted.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{true, false} {
		h := newHarness(t, closeDelimited("part of a body", reset))
		response := h.do(h.request(http.MethodPost, "/order/x", ""))
		if reset {
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			continue
		}
		require.Equal(t, "part of a body", bodyOf(t, response))
	}
}

// closeDelimited returns an upstream whose answer is delimited by the end of the
// connection.
func closeDelimited(body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: %s\r\n\r\n%s", r.Header.Get(testNames.RequestID), body)
		if reset {
			// The reset must not overtake the data in the receiver's queue.
			time.Sleep(50 * time.Millisecond)
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
		_ = connection.Close()
	}
}

// Guards against a second answer to an earlier request that arrives late on a
// persistent connection and is passed on as the answer to the next request.
func TestLateExtraAnswerIsDropped(t *testing.T) {
	address := rawUpstream(t, func(c net.Conn, r *http.Request, number int) {
		if number == 2 {
			writeRaw(c, "request-1", "late copy of the first")
		}
		writeRaw(c, r.Header.Get(testNames.RequestID), "answer "+strconv.Itoa(number))
	})
	h := newHarness(t)
	h.addUpstream(0, address)
	for number := 1; number <= 3; number++ {
		request := h.request(http.MethodPost, "/order/x", "")
		request.Header.Set(testNames.RequestID, "request-"+strconv.Itoa(number))
		require.Equal(t, "answer "+strconv.Itoa(number), bodyOf(t, h.do(request)))
	}
}

func writeRaw(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// rawUpstream starts an upstream whose answers the function writes, and returns
// its address.
func rawUpstream(t *testing.T, answer func(c net.Conn, r *http.Request, number int)) string {
	t.Helper()
	return serveConnections(t, func(c net.Conn) { serveRaw(c, answer) })
}

// serveConnections listens on a local address, which it returns, and calls serve
// for each connection.
func serveConnections(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return socket.Addr().String()
}

func serveRaw(c net.Conn, answer func(c net.Conn, r *http.Request, number int)) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer(c, r, number)
	}
}

// Guards against extra bytes after a complete answer that corrupt the next
// answer on the connection.
func TestExtraBytesAfterAnAnswerAreNotReadAsTheNext(t *testing.T) {
	address := rawUpstream(t, func(c net.Conn, r *http.Request, number int) {
		writeRaw(c, r.Header.Get(testNames.RequestID), "answer")
		_, _ = io.WriteString(c, "rubbish")
	})
	h := newHarness(t)
	h.addUpstream(0, address)
	for range 3 {
		require.Equal(t, "answer", bodyOf(t, h.do(h.request(http.MethodPost, "/order/x", ""))))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against the rest of a request body that is parsed as the next request
// after an upstream answered early, and against a writer that blocks for ever.
func TestEarlyAnswerDoesNotCorruptTheConnection(t *testing.T) {
	var requests atomic.Int32
	h := newHarness(t)
	h.addUpstream(0, serveConnections(t, func(c net.Conn) { answerEarly(c, &requests) }))
	for range 2 {
		response := h.do(h.request(http.MethodPost, "/order/x", strings.Repeat("x", 4<<20)))
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	}
	require.EqualValues(t, 2, requests.Load(), "a body was parsed as a request")
}

// answerEarly answers each request before it reads the body, and counts the
// requests that it parses.
func answerEarly(c net.Conn, requests *atomic.Int32) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		requests.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nSeal: s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get(testNames.RequestID))
		time.Sleep(20 * time.Millisecond)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// Guards against a caller that waits beyond the route's timeout for an upstream
// that does not answer.
func TestTimeoutIsAnsweredInTime(t *testing.T) {
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	start := time.Now()
	response := h.do(h.request(http.MethodPost, "/brief/x", ""))
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Less(t, time.Since(start), 600*time.Millisecond)
}

// Guards against an upstream that continues to work for a disconnected caller.
func TestAbandonedRequestEndsAtTheUpstream(t *testing.T) {
	started := make(chan struct{})
	ended := make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	c, err := net.Dial("tcp", h.listener.Address())
	require.NoError(t, err)
	require.NoError(t, h.request(http.MethodGet, "/look/x", "").Write(c))
	<-started
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream still runs the request 500 ms after the caller disconnected")
	}
}
