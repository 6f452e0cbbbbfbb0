package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/relay"
)

// Guards against a silenced connection that is closed: heartbeat tests would then
// detect the close instead of the silence. Also guards against a silence that
// affects new connections.
func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	r, err := relay.New(echo(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.Close() })
	first := dial(t, r.Address())
	require.Equal(t, "a", exchange(t, first, "a"))
	require.Equal(t, 1, r.Silence())
	_, err = first.Write([]byte("b"))
	require.NoError(t, err)
	require.NoError(t, first.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = first.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.Equal(t, "c", exchange(t, dial(t, r.Address()), "c"))
}

// Guards against a call of Cut that leaves a connection open.
func TestCutClosesConnections(t *testing.T) {
	r, err := relay.New(echo(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.Close() })
	c := dial(t, r.Address())
	require.Equal(t, "a", exchange(t, c, "a"))
	require.Equal(t, 1, r.Cut())
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
}

func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func exchange(t *testing.T, c net.Conn, text string) string {
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	return string(got)
}
