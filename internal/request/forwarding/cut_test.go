package forwarding

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a success that an upstream did not complete: it stopped in the
// head of its answer or in a body whose length it had stated, and closed the
// connection. Callers elsewhere got status 200 with an empty or short body.
func TestAnswerThatAnUpstreamCutsIsNeverComplete(t *testing.T) {
	plain, streamed := "order done", events(1, 2)
	for _, c := range []struct{ path, fields, body string }{
		{"/order/x", "Content-Length: 10\r\n", plain},
		{"/order/x", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(plain), plain)},
		{"/look/x", "Content-Length: 10\r\n", plain},
		{"/look/x", "", plain},
		{"/draft/x", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(streamed), streamed)},
		{"/draft/x", "Content-Type: text/event-stream\r\n", streamed},
	} {
		t.Run(c.path+" "+c.fields, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: " + testID + "\r\n" + c.fields + "\r\n"
			whole, cuts := head+c.body, len(head+c.body)
			if !strings.Contains(c.fields, "Length") && !strings.Contains(c.fields, "chunked") {
				// The end of the connection delimits the body, so only the head can be cut.
				cuts = len(head)
			}
			var cut atomic.Int64
			h := newHarness(t)
			h.addUpstream(0, rawUpstream(t, func(connection net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(connection, whole[:cut.Load()])
				_ = connection.Close()
			}))
			for n := range cuts {
				cut.Store(int64(n))
				response := h.do(h.request(http.MethodPost, c.path, "body"))
				_, err := io.ReadAll(response.Body)
				require.False(t, err == nil && isSuccess(response.StatusCode), "cut after %q", whole[:n])
			}
			cut.Store(int64(len(whole)))
			response := h.do(h.request(http.MethodPost, c.path, "body"))
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Contains(t, []string{plain, streamed}, string(body))
		})
	}
}

// Guards against a part of an answer without a length that is passed on as complete,
// with a length, after its upstream was killed: its system closes the connection as
// if the answer had ended.
func TestAnswerWithoutLengthOfAnEndedUpstreamIsNotComplete(t *testing.T) {
	for _, path := range []string{"/order/x", "/look/x"} {
		h := newHarness(t)
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = socket.Close()
			closeDelimited("half", false)(w, r)
		})}
		go func() { _ = server.Serve(socket) }()
		t.Cleanup(func() { _ = server.Close() })
		h.addUpstream(0, socket.Addr().String())
		response := h.do(h.request(http.MethodPost, path, ""))
		require.Equal(t, http.StatusBadGateway, response.StatusCode, path)
		require.Empty(t, response.Header.Get(testNames.Seal))
	}
}
