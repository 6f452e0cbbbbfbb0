package listener

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// scarceListener has no descriptors for its first connections.
type scarceListener struct {
	net.Listener
	failures int
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that accepts no connections any more, but reports that it
// is ready, after it lacked descriptors for a moment.
func TestAcceptGoesOnAfterALackOfDescriptors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	fenced, err := New(Options{Address: "127.0.0.1:0"}, nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, fenced.Shutdown(t.Context())) }()
	s := newSocket(&scarceListener{Listener: inner, failures: 2})
	s.start(fenced.fence)
	defer func() { require.NoError(t, s.Close()) }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, caller.Close()) }()
	accepted := make(chan error, 1)
	go func() {
		c, err := s.Accept()
		if err == nil {
			err = c.Close()
		}
		accepted <- err
	}()
	require.NoError(t, <-accepted)
}
