package upstreamclient_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/stall"
	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

// fetchFrom fetches from a peer that sends count units with a pause before each.
func fetchFrom(t *testing.T, count int, interval time.Duration, l upstreamclient.FetchLimits) (upstreamclient.Reply, error) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() { close(done); _ = socket.Close() })
	go func() {
		c, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 10*count)
		for range count {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			_, _ = c.Write([]byte("0123456789"))
		}
	}()
	f := upstreamclient.NewFetcher(upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now), l)
	return f.Fetch(t.Context(), socket.Addr().String(), &upstreamclient.Request{Method: http.MethodGet, Target: "/", Host: "peer", Header: http.Header{}}, 0)
}

// Guards against a transfer that never completes because it takes longer than a fixed limit.
func TestFetchLastsAsLongAsBytesArrive(t *testing.T) {
	limits := upstreamclient.FetchLimits{Head: 300 * time.Millisecond, Stall: 300 * time.Millisecond, Total: 20 * time.Second, MaxBytes: 1000}
	reply, err := fetchFrom(t, 40, 20*time.Millisecond, limits)
	require.NoError(t, err)
	require.Len(t, reply.Body, 400)
}

// Guards against a fetch that waits for a peer which has stopped sending, sends without end, or sends too much.
func TestFetchEndsWithoutProgress(t *testing.T) {
	limits := upstreamclient.FetchLimits{Head: time.Second, Stall: 100 * time.Millisecond, Total: 20 * time.Second, MaxBytes: 1000}
	_, err := fetchFrom(t, 2, 10*time.Second, limits)
	require.ErrorIs(t, err, stall.ErrStalled)
	limits.Total = 300 * time.Millisecond
	_, err = fetchFrom(t, 90, 20*time.Millisecond, limits)
	require.Error(t, err)
	limits.Total, limits.MaxBytes = 20*time.Second, 15
	_, err = fetchFrom(t, 5, time.Millisecond, limits)
	require.ErrorContains(t, err, "exceeds")
}

// Guards against a request that is sent although its sender withdrew it while the
// connection was opened, and against losing the connection then.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	var requests, dialled atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second, OnDial: func(string) { dialled.Add(1) }}, time.Now)
	request := &upstreamclient.Request{Method: http.MethodGet, Target: "/", Host: "peer", Header: http.Header{}}
	errLeaving := errors.New("leaving")
	request.BeforeSend = func() error { return errLeaving }
	_, err := pool.Send(t.Context(), address, request)
	require.ErrorIs(t, err, errLeaving)
	var failure *upstreamclient.Failure
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.Sent)
	require.Zero(t, requests.Load())
	request.BeforeSend = nil
	answer, err := pool.Send(t.Context(), address, request)
	require.NoError(t, err)
	answer.Close()
	require.EqualValues(t, 1, dialled.Load())
}

// Guards against a part of an early answer of another process that is used: it reset the
// connection while a large message was being written.
func TestEarlyReplyThatAResetCutsIsAnError(t *testing.T) {
	address := rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n{}", rawanswer.Reset)
	limits := upstreamclient.FetchLimits{Head: 10 * time.Second, Stall: 10 * time.Second, Total: 20 * time.Second, MaxBytes: 1000}
	f := upstreamclient.NewFetcher(upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now), limits)
	message := strings.Repeat("x", 1<<20)
	answered := 0
	for range 200 {
		var reply struct{}
		if _, err := f.PostJSON(t.Context(), address, "/", message, &reply, 0); err == nil {
			answered++
		}
	}
	require.Zero(t, answered, "parts returned as replies")
}
