package peerclose

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadBytes is more than the system buffers for a peer that does not read.
const uploadBytes = 32 << 20

// connect returns both sides of a connection.
func connect(t *testing.T) (socket net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	socket, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return socket, accepted.(*net.TCPConn)
}

// startWrite starts to write the upload. The channel receives the error.
func startWrite(socket net.Conn) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := socket.Write(make([]byte, uploadBytes))
		result <- err
	}()
	return result
}

// reset ends the connection of the peer with a reset.
func reset(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
}

// Guards against a reset that looks like a close because a write got it. Without this
// package, the read after such a write returns io.EOF.
func TestResetThatAWriteGotIsReturnedByRead(t *testing.T) {
	socket, peer := connect(t)
	written := startWrite(socket)
	reset(t, peer)
	require.ErrorIs(t, <-written, syscall.ECONNRESET)
	_, err := socket.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)

	socket, peer = connect(t)
	c := New(socket)
	written = startWrite(c)
	_, err = peer.Write([]byte("part"))
	require.NoError(t, err)
	reset(t, peer)
	require.ErrorIs(t, <-written, syscall.ECONNRESET)
	body, err := io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, "part", string(body))
}

// Guards against the same where a read waits while the reset arrives: either call gets it.
func TestResetIsReturnedByARead(t *testing.T) {
	for range 100 {
		socket, peer := connect(t)
		c := New(socket)
		written := startWrite(c)
		go func() {
			_, _ = peer.Write([]byte("part"))
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}()
		_, err := io.ReadAll(c)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Error(t, <-written)
	}
}

// Guards against a closed connection that is taken for a reset one, and against a read that
// waits for a write that does not end: the peer reads no more, or resets after the close.
func TestCloseIsTheEnd(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"nothing more":       func(*net.TCPConn) {},
		"reset":              func(peer *net.TCPConn) { _ = peer.SetLinger(0); _ = peer.Close() },
		"closed with unread": func(peer *net.TCPConn) { _ = peer.Close() },
	} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(name+" "+delay.String(), func(t *testing.T) {
				t.Parallel()
				for range 20 {
					socket, peer := connect(t)
					c := New(socket)
					written := startWrite(c)
					go func() {
						_, _ = peer.Write([]byte("whole"))
						_ = peer.CloseWrite()
						time.Sleep(delay)
						end(peer)
					}()
					body, err := io.ReadAll(c)
					require.NoError(t, err)
					require.Equal(t, "whole", string(body))
					require.Error(t, <-written)
				}
			})
		}
	}
}

// Guards against an end without a write that is not io.EOF.
func TestCloseWithoutAWriteIsTheEnd(t *testing.T) {
	socket, peer := connect(t)
	c := New(socket)
	_, err := c.Write([]byte("request"))
	require.NoError(t, err)
	_, err = io.CopyN(io.Discard, peer, int64(len("request")))
	require.NoError(t, err)
	require.NoError(t, peer.Close())
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}

// Guards against a request that is cut at once for a peer that closes its side and reads on.
func TestWriteGoesOnAfterTheClose(t *testing.T) {
	socket, peer := connect(t)
	c := New(socket)
	written := startWrite(c)
	_, err := peer.Read(make([]byte, 1))
	require.NoError(t, err)
	start := time.Now()
	require.NoError(t, peer.CloseWrite())
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	require.GreaterOrEqual(t, time.Since(start), closeGrace)
	require.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
}
