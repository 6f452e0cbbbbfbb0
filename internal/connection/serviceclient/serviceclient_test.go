package serviceclient_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/connection/serviceclient"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

func booking() *attempt.Request {
	return &attempt.Request{
		Method: http.MethodPost, Path: "/bookings", Query: "day=1",
		Header: http.Header{"Idempotency-Key": {"k"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:   []byte("{}"),
	}
}

// Guards against an order that the HTTP library retries by itself when a reused
// connection fails after the service has read the request.
func TestRequestOnABrokenConnectionIsNotRepeated(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var requests atomic.Int32
	go answerAndCount(listener, &requests)
	client := serviceclient.New(listener.Addr().String())
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		requests.Store(0)
		request := booking()
		request.Method = method
		request.Body = nil
		_, err = client.Call(context.Background(), request)
		require.NoError(t, err)
		request.Path = "/die"
		_, err = client.Call(context.Background(), request)
		require.Error(t, err)
		require.NotErrorIs(t, err, serviceclient.ErrNotSent)
		require.EqualValues(t, 2, requests.Load())
	}
}

// answerAndCount answers and counts requests. It closes a connection without an
// answer after it has read a request for /die.
func answerAndCount(listener net.Listener, requests *atomic.Int32) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = connection.Close() }()
			reader := bufio.NewReader(connection)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				requests.Add(1)
				if request.URL.Path == "/die" {
					return
				}
				_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}()
	}
}

// Guards against "outcome unknown" for a request that the service cannot have
// received.
func TestRequestToAnUnreachableServiceIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := serviceclient.New(address)
	_, err = client.Call(context.Background(), booking())
	require.ErrorIs(t, err, serviceclient.ErrNotSent)
	require.False(t, client.Reachable(context.Background()))
}

// Guards against an altered request or answer, and against hop-by-hop header
// fields that are forwarded.
func TestRequestAndAnswerArePassedOnUnchanged(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/bookings" || r.URL.RawQuery != "day=1" || r.Header.Get("X-Hop") != "" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		w.Header().Set("Location", "/bookings/7")
		w.WriteHeader(http.StatusSeeOther)
		_, _ = w.Write([]byte("booked"))
	}))
	defer server.Close()
	client := serviceclient.New(strings.TrimPrefix(server.URL, "http://"))
	answer, err := client.Call(context.Background(), booking())
	require.NoError(t, err)
	require.Equal(t, http.StatusSeeOther, answer.Status)
	require.Equal(t, "/bookings/7", answer.Header.Get("Location"))
	require.Equal(t, "booked", string(answer.Body))
}

// Guards against half of an answer without a length that is recorded as the complete
// one after the service was killed.
func TestAnswerWithoutLengthOfAnEndedServiceIsNotComplete(t *testing.T) {
	for _, ended := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(connection))
			_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\n\r\nhalf"))
			if ended {
				_ = listener.Close()
			}
			_ = connection.Close()
		}()
		answer, err := serviceclient.New(listener.Addr().String()).Call(context.Background(), booking())
		if ended {
			require.ErrorContains(t, err, "no length")
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "half", string(answer.Body))
	}
}

// Guards against an answer with a malformed head that is passed on: its status and its
// length cannot be relied on, and the service may have run the request.
func TestAnswerWithAMalformedHeadIsAnError(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Error", "HTTP/1.1 +20 Error", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Error",
		"HTTP/1.1 200 OK\r\nA : b", "HTTP/1.1 200 OK\r\nA b: c", "HTTP/1.1 200 OK\r\nA: b\r\n C: d", "HTTP/1.1 200 OK\r\nA\x01: b",
	} {
		address := rawanswer.Serve(t, head+"\r\nContent-Length: 2\r\n\r\nok")
		_, err := serviceclient.New(address).Call(t.Context(), booking())
		require.ErrorIs(t, err, answerhead.ErrMalformed, head)
		require.NotErrorIs(t, err, serviceclient.ErrNotSent, head)
	}
}

// Guards against a part of an early answer without a length that is recorded as the complete
// one: the service reset the connection while the request was being written.
func TestEarlyAnswerThatAResetCutsIsAnError(t *testing.T) {
	address := rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", rawanswer.Reset)
	request := booking()
	request.Body = make([]byte, 1<<20)
	answered := 0
	for range 200 {
		_, err := serviceclient.New(address).Call(t.Context(), request)
		require.NotErrorIs(t, err, serviceclient.ErrNotSent)
		if err == nil {
			answered++
		}
	}
	require.Zero(t, answered, "parts returned as answers")
}

// Guards against a complete early answer that counts as failed: the service reads the request
// after it.
func TestEarlyAnswerWhoseConnectionIsClosedIsComplete(t *testing.T) {
	request := booking()
	request.Body = make([]byte, 1<<20)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"} {
		address := rawanswer.ServeEarly(t, head+"whole", rawanswer.CloseAndRead)
		for range 20 {
			answer, err := serviceclient.New(address).Call(t.Context(), request)
			require.NoError(t, err, head)
			require.Equal(t, "whole", string(answer.Body))
		}
	}
}
