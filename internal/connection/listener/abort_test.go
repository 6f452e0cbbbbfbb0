package listener

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pipelined request that runs on a connection which an aborted
// response has closed: its response would reach nobody.
func TestRequestBehindAnAbortedResponseIsNotServed(t *testing.T) {
	var l *Listener
	var served atomic.Int32
	ready := make(chan struct{})
	finished := make(chan bool, 1)
	l, err := New(Options{Address: "127.0.0.1:0"}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/aborted" {
			served.Add(1)
			return
		}
		<-ready // l is set.
		_, _ = io.WriteString(w, "part")
		finished <- waitUntil(func() bool { return activeRequests(l) == 2 })
		panic(http.ErrAbortHandler)
	}))
	require.NoError(t, err)
	close(ready)
	caller, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	_, err = io.WriteString(caller, "GET /aborted HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.True(t, <-finished, "the second request is not received")
	_, _ = io.Copy(io.Discard, caller)
	require.NoError(t, caller.Close())
	require.NoError(t, l.Shutdown(t.Context()))
	require.Zero(t, served.Load())
}

func waitUntil(condition func() bool) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// activeRequests returns the number of requests of all connections without a complete
// response.
func activeRequests(l *Listener) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, c := range l.open {
		c.mu.Lock()
		total += c.active
		c.mu.Unlock()
	}
	return total
}
