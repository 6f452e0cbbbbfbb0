package listener

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shutdownNotice is the time that a shutdown has.
const shutdownNotice = 500 * time.Millisecond

// Guards against a request on a connection that is accepted while a shutdown closes
// the last ones: it was served, and its connection closed without an answer.
func TestConnectionAcceptedAtTheEndOfAShutdownIsNotServed(t *testing.T) {
	var served atomic.Int32
	l, err := New(Options{Address: "127.0.0.1:0"}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	require.NoError(t, err)
	require.True(t, l.endIfIdle())
	caller, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	defer func() { require.NoError(t, caller.Close()) }()
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	require.NoError(t, err)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = caller.Read(make([]byte, 1))
	require.Error(t, err)
	require.Zero(t, served.Load())
	require.NoError(t, l.Shutdown(t.Context()))
}

// Guards against a shutdown that never returns. A connection that it closes after the
// library has announced it, but before the poller has it, stays in the count of open
// connections for which Engine.Stop waits.
func TestShutdownReturnsIfItClosesAConnectionThatIsBeingAdded(t *testing.T) {
	l, err := New(Options{Address: "127.0.0.1:0"}, http.NotFoundHandler())
	require.NoError(t, err)
	announced := make(chan struct{})
	l.engine.OnOpen(func(accepted net.Conn) {
		l.handleOpen(accepted)
		l.endIfIdle()
		close(announced)
	})
	caller, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	<-announced
	ctx, cancel := context.WithTimeout(t.Context(), shutdownNotice)
	defer cancel()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		_ = l.Shutdown(ctx)
	}()
	select {
	case <-returned:
	case <-time.After(10 * shutdownNotice):
		require.Fail(t, "shutdown did not return")
	}
}
