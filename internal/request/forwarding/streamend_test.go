package forwarding

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endingStream returns an upstream that sends two events, without a length or in
// one chunk, and then the rest. It ends the connection, by a reset or properly, and
// also its listener if it is gone.
func endingStream(chunked bool, rest string, reset, gone bool, stop func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		body := events(1, 2) + rest
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSeal: s\r\nRequest-Id: " + r.Header.Get(testNames.RequestID) + "\r\n"
		if chunked {
			_, _ = fmt.Fprintf(connection, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		} else {
			_, _ = fmt.Fprintf(connection, "%s\r\n%s", head, body)
		}
		if gone {
			stop()
		}
		if reset {
			// The reset must not overtake the data in the receiver's queue.
			time.Sleep(50 * time.Millisecond)
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
		_ = connection.Close()
	}
}

// Guards against a stream that was broken off and looks complete, and against a complete one that is broken off because it has no length.
func TestStreamIsCompleteOnlyIfItEndsAfterAnEventAtALivingEngine(t *testing.T) {
	for name, c := range map[string]struct {
		chunked, reset, gone bool
		rest                 string
		complete             bool
	}{
		"without a length":                        {complete: true},
		"chunked":                                 {chunked: true, complete: true},
		"without a length, inside an event":       {rest: "id: 3\ndata: tok"},
		"chunked, inside an event":                {chunked: true, rest: "id: 3\ndata: tok"},
		"without a length, reset":                 {reset: true},
		"without a length, the engine ended also": {gone: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := &http.Server{ReadHeaderTimeout: time.Minute}
			server.Handler = endingStream(c.chunked, c.rest, c.reset, c.gone, func() { _ = socket.Close() })
			go func() { _ = server.Serve(socket) }()
			t.Cleanup(func() { _ = server.Close() })
			h.addUpstream(0, socket.Addr().String())
			response := h.do(h.request(http.MethodPost, "/draft/x", ""))
			body, err := io.ReadAll(response.Body)
			require.Equal(t, events(1, 2), string(body))
			if c.complete {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
		})
	}
}
