package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against unsent responses that together take unbounded memory, and against
// responses that are cut off, or never continue, for that reason.
func TestUnsentResponsesTogetherAreBounded(t *testing.T) {
	const size, callers, limit = 12 << 20, 12, 1 << 20
	var written atomic.Int64
	options := Options{Address: "127.0.0.1:0", MaxUnsentBytes: limit}
	l, err := New(options, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 32<<10)
		for range size / len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
			written.Add(int64(len(block)))
		}
	}))
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Shutdown(t.Context())) }()
	connections := make([]net.Conn, 0, callers)
	for range callers {
		c, err := net.Dial("tcp", l.Address())
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).SetReadBuffer(16<<10))
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		connections = append(connections, c)
	}
	last := int64(-1)
	require.Eventually(t, func() bool {
		before := last
		last = written.Load()
		return last > 0 && last == before
	}, 20*time.Second, 300*time.Millisecond, "the handlers never block")
	// A response may exceed the bound by its own share and by one block.
	require.Less(t, l.unsent.Load(), int64(limit+callers*(minUnsentBytes+64<<10)))
	var group sync.WaitGroup
	var received atomic.Int64
	for _, c := range connections[1:] {
		group.Go(func() {
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, response.Body)
			received.Add(n)
			_ = c.Close()
		})
	}
	require.NoError(t, connections[0].Close())
	group.Wait()
	require.EqualValues(t, size*(callers-1), received.Load())
	require.Eventually(t, func() bool { return l.unsent.Load() == 0 && l.received.Load() == 0 }, 20*time.Second, 10*time.Millisecond)
}
