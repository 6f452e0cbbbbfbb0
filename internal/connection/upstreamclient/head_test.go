package upstreamclient_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
)

// FuzzAnswer reads what a faulty peer may write in place of an answer.
func FuzzAnswer(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nKeep-Alive: timeout=999999999999\r\n\r\n",
		"HTTP/9.9 999999 \r\n\r\n", "\x00\xff", "",
		"HTTP/1.1 000 Error\r\nRequest-Id: r\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: r\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, written []byte) {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = socket.Close() }()
		go func() {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = c.Write(written)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now)
		answer, err := pool.Send(ctx, socket.Addr().String(), &upstreamclient.Request{
			Method: http.MethodGet, Target: "/", Host: "peer", Header: http.Header{}, ID: "r",
			AnsweredID: func(h http.Header) string { return h.Get("Request-Id") },
		})
		if err != nil {
			var failure *upstreamclient.Failure
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.Sent)
			return
		}
		defer answer.Close()
		require.Contains(t, []string{"", "r"}, answer.Header.Get("Request-Id"))
		require.GreaterOrEqual(t, answer.Status, http.StatusOK)
		require.Less(t, answer.Status, 600)
		body, err := answer.Body(1 << 20)
		if err == nil {
			require.LessOrEqual(t, len(body), len(written))
		}
	})
}
