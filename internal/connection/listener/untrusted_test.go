package listener_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/listener"
)

// legalLimits are limits that operators set in practice.
func legalLimits() listener.Limits { return listener.Limits{MaxHeaderBytes: 16_384} }

// reasons collects the reasons of refusals.
type reasons struct {
	mu   sync.Mutex
	list []string
}

func (r *reasons) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, reason)
}

func (r *reasons) get() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.list...)
}

// Guards against a default that refuses a single request inside the configured
// limits: with a large header of one line or of very many, in any split, or with
// empty lines before it.
func TestLegalRequestsMeetNoDefault(t *testing.T) {
	l := startListener(t, listener.Options{Limits: legalLimits}, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, len(r.Header), " ", len(r.RequestURI), " ", n)
	})
	short := func(size int) string {
		var b strings.Builder
		for n := 0; b.Len() < size; n++ {
			fmt.Fprintf(&b, "~%x:\r\n", n)
		}
		return b.String()
	}
	for name, request := range map[string]string{
		"many fields":      "GET / HTTP/1.1\r\nHost: a\r\n" + short(16_300) + "\r\n",
		"shortest fields":  "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 4_080) + "\r\n",
		"one large field":  "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 16_300) + "\r\n\r\n",
		"long target":      "GET /" + strings.Repeat("a", 16_300) + " HTTP/1.1\r\nHost: a\r\n\r\n",
		"empty lines":      "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"body of 4 MiB":    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n" + strings.Repeat("\n", 4<<20),
		"chunks of 1 byte": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 100_000) + "0\r\n\r\n",
	} {
		for _, step := range []int{len(request), 1000} {
			if len(request)/step > 100 {
				continue
			}
			c, r := dial(t, l, "")
			for rest := request; rest != ""; {
				n := min(step, len(rest))
				_, err := io.WriteString(c, rest[:n])
				require.NoError(t, err)
				rest = rest[n:]
			}
			response, body := readResponse(t, r)
			require.Equal(t, http.StatusOK, response.StatusCode, "%s: %s", name, body)
			require.NoError(t, c.Close())
		}
	}
}

// Guards against a bound of the memory of requests that refuses a single one of legal size
// where the process has little memory.
func TestSingleLargestRequestIsServedWithLittleMemory(t *testing.T) {
	l := startListener(t, listener.Options{MaxBodyBytes: 8 << 20}.WithMemory(16<<20), func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	c, r := dial(t, l, "")
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8388608\r\n\r\n"+strings.Repeat("a", 8<<20))
	require.NoError(t, err)
	response, body := readResponse(t, r)
	require.Equal(t, http.StatusOK, response.StatusCode, body)
	require.NoError(t, c.Close())
}

// Guards against requests that are read ahead of their responses without bound, and
// against a refusal of one that runs, or that overtakes the earlier responses.
func TestPipelinedRequestsBeyondTheLimitAreNotRun(t *testing.T) {
	var served atomic.Int64
	var refusals reasons
	release := make(chan struct{})
	l := startListener(t, listener.Options{MaxPipelined: 4, OnRefusal: refusals.add}, func(w http.ResponseWriter, r *http.Request) {
		<-release
		served.Add(1)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	var requests strings.Builder
	for n := range 20 {
		fmt.Fprintf(&requests, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", n)
	}
	_, r := dial(t, l, requests.String())
	require.Eventually(t, func() bool { return len(refusals.get()) > 0 }, waitTimeout, time.Millisecond)
	close(release)
	for n := range 4 {
		_, body := readResponse(t, r)
		require.Equal(t, fmt.Sprintf("/%d", n), body)
	}
	response, body := readResponse(t, r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	require.Contains(t, body, `"outcome":"not_run"`)
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 4, served.Load())
	require.Equal(t, []string{"too_many_pipelined"}, refusals.get())
}

// Guards against a limit that callers exceed without a refusal, and against a refusal
// that is not counted once.
func TestRequestsBeyondTheLimitsAreRefused(t *testing.T) {
	var served atomic.Int64
	var refusals reasons
	l := startListener(t, listener.Options{
		Limits: legalLimits, MaxLineBytes: 4096, MaxFields: 50, MaxEmptyLines: 2, MaxReceivedBytes: 1 << 20, OnRefusal: refusals.add,
	}, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	for _, c := range []struct {
		reason, request string
		status          int
	}{
		{"line_too_long", "GET /" + strings.Repeat("a", 5000), http.StatusRequestHeaderFieldsTooLarge},
		{"line_too_long", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 5000), http.StatusRequestHeaderFieldsTooLarge},
		{"line_too_long", strings.Repeat("G", 5000), http.StatusRequestHeaderFieldsTooLarge},
		{"too_many_fields", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 50) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"header_too_large", "GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("a", 1000)+"\r\n", 17), http.StatusRequestHeaderFieldsTooLarge},
		{"too_many_empty_lines", "\r\n\r\n\r\n", http.StatusBadRequest},
		{"malformed_request", "\rG", http.StatusBadRequest},
		{"line_too_long", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("a", 5000), http.StatusRequestHeaderFieldsTooLarge},
		{"overloaded", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("a", 1_900_000), http.StatusServiceUnavailable},
	} {
		before := len(refusals.get())
		_, r := dial(t, l, c.request)
		response, body := readResponse(t, r)
		require.Equal(t, c.status, response.StatusCode, "%s: %s", c.reason, body)
		require.Equal(t, []string{c.reason}, refusals.get()[before:])
	}
	require.Zero(t, served.Load())
}

// Guards against memory that stays charged after a request or connection has ended,
// which would refuse all requests in the end, and against large requests that take the
// memory of modest ones.
func TestMemoryOfEndedRequestsIsFree(t *testing.T) {
	const size = 400 << 10
	l := startListener(t, listener.Options{MaxReceivedBytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	whole := func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("a", size))
	}
	for n := range 24 {
		c, r := dial(t, l, "")
		switch n % 4 {
		case 0:
			_, err := io.WriteString(c, whole("/abort"))
			require.NoError(t, err)
			_, err = r.ReadByte()
			require.Error(t, err)
		case 1:
			_, err := io.WriteString(c, whole("/")[:size/2])
			require.NoError(t, err)
		case 2:
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n")
			require.NoError(t, err)
		default:
			for range 4 {
				_, err := io.WriteString(c, whole("/"))
				require.NoError(t, err)
				response, body := readResponse(t, r)
				require.Equal(t, http.StatusOK, response.StatusCode, body)
			}
		}
		require.NoError(t, c.Close())
		require.Eventually(t, func() bool { return postStatus(l, 900<<10) == http.StatusOK }, waitTimeout, time.Millisecond)
	}
	held := make([]net.Conn, 0, 3)
	for range 3 {
		c, _ := dial(t, l, whole("/")[:size-10_000])
		held = append(held, c)
	}
	require.Eventually(t, func() bool { return postStatus(l, size) == http.StatusServiceUnavailable }, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, postStatus(l, 1000))
	for _, c := range held {
		_ = c.Close()
	}
	require.Eventually(t, func() bool { return postStatus(l, 900<<10) == http.StatusOK }, waitTimeout, time.Millisecond)
}

// postStatus sends a request with a body on a new connection and returns the status of
// the response, 0 without one.
func postStatus(l *listener.Listener, size int) int {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+l.Address()+"/", "text/plain", strings.NewReader(strings.Repeat("a", size)))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
