package upstreamclient_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/request/eventstream"
)

// endlessPeer returns the address of a peer that sends the start, and then the
// repeated bytes until its caller closes the connection. The channel is closed then.
func endlessPeer(t *testing.T, start, repeated string) (address string, closed <-chan struct{}) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte(start))
		for block := bytes.Repeat([]byte(repeated), 1000); err == nil; {
			_, err = c.Write(block)
		}
	}()
	return socket.Addr().String(), ended
}

// Guards against a head without end that fills the memory of the process.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	for name, peer := range map[string][2]string{
		"status line":   {"HTTP/1.1 200 ", "x"},
		"one field":     {"HTTP/1.1 200 OK\r\nField: ", "x"},
		"many fields":   {"HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
		"no answer":     {"", "\x00\xff"},
		"interim heads": {"HTTP/1.1 100 Continue\r\n", "Field: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := endlessPeer(t, peer[0], peer[1])
			pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := pool.Send(t.Context(), address, &upstreamclient.Request{Method: http.MethodGet, Target: "/", Host: "peer", Header: http.Header{}})
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4<<20))
			<-closed
		})
	}
}

// Guards against a body without end, with and without a length, that is read to the limit of the caller's time.
func TestBodyWithoutEndIsRefused(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"} {
		address, closed := endlessPeer(t, head, "x")
		pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now)
		answer, err := pool.Send(t.Context(), address, &upstreamclient.Request{Method: http.MethodGet, Target: "/", Host: "peer", Header: http.Header{}})
		require.NoError(t, err)
		_, err = answer.Body(1 << 20)
		require.ErrorContains(t, err, "exceeds")
		answer.Close()
		<-closed
	}
}

// Guards against many bodies without end that together fill the memory of the process.
func TestBodiesWithoutEndShareABound(t *testing.T) {
	pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now)
	const answers, limit = 12, 8 << 20
	var kept atomic.Int64
	var readers sync.WaitGroup
	barrier := make(chan struct{})
	for range answers {
		address, _ := endlessPeer(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
		answer, err := pool.Send(t.Context(), address, &upstreamclient.Request{Method: http.MethodGet, Target: "/", Host: "peer", Header: http.Header{}})
		require.NoError(t, err)
		readers.Go(func() {
			<-barrier
			body, err := answer.Body(limit)
			kept.Add(int64(len(body)))
			if err == nil {
				kept.Add(limit)
			}
			answer.Close()
		})
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	close(barrier)
	readers.Wait()
	runtime.ReadMemStats(&after)
	require.Zero(t, kept.Load())
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(answers*limit), "each body alone would take its limit")
	address, _ := endlessPeer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "x")
	answer, err := pool.Send(t.Context(), address, &upstreamclient.Request{Method: http.MethodGet, Target: "/", Host: "peer", Header: http.Header{}})
	require.NoError(t, err)
	body, err := answer.Body(limit)
	require.NoError(t, err, "what the answers took is free again")
	require.Equal(t, "xxxxx", string(body))
	answer.Close()
}

// Guards against many streams with events that do not end, each below the bound of
// one event, that together fill the memory of the process.
func TestEventsWithoutEndShareABound(t *testing.T) {
	const streams, eventBytes, bound = 64, 900 << 10, 16 << 20
	pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	var peers sync.WaitGroup
	peers.Add(streams)
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\ndata: "))
				_, _ = c.Write(bytes.Repeat([]byte("x"), eventBytes))
				// The peer keeps the connection. What it has written is read by then, but for
				// what the system buffers.
				peers.Done()
				<-finished
				_ = c.Close()
			}()
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var refused atomic.Int64
	var readers sync.WaitGroup
	for range streams {
		answer, err := pool.Send(ctx, socket.Addr().String(), &upstreamclient.Request{Method: http.MethodGet, Target: "/", Host: "peer", Header: http.Header{}})
		require.NoError(t, err)
		readers.Go(func() {
			defer answer.Close()
			if _, err := eventstream.New(answer, answer.Reserve).Next(); err != nil && ctx.Err() == nil {
				refused.Add(1)
			}
		})
	}
	peers.Wait()
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(2*bound))
	require.Positive(t, refused.Load())
	cancel()
	readers.Wait()
}
