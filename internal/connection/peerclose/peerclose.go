package peerclose

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// closeGrace is the time that a Write in progress has left once the peer has closed its side.
// The peer may read on.
const closeGrace = 50 * time.Millisecond

// Conn is a connection whose Read returns io.EOF only if the peer has closed it. Read and
// Write may be called concurrently, but neither by several goroutines at once.
type Conn struct {
	net.Conn
	// writing is held by each Write. It guards writeErr.
	writing sync.Mutex
	// writeErr is the error of the first Write that failed, nil if none did.
	writeErr error
}

// New returns a connection that uses the socket.
func New(socket net.Conn) *Conn { return &Conn{Conn: socket} }

// Read implements net.Conn. If a Write got the error that ended the connection, Read returns
// that error in place of io.EOF. Before it returns io.EOF, it gives a Write in progress 50 ms
// to end. After that Writes fail.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		return n, c.endOfRead()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endOfRead returns io.EOF, or the error that ended the connection if a Write got it.
func (c *Conn) endOfRead() error {
	// A Write in progress may have got the error, or wait for a peer that reads no more. If the
	// deadline cannot be set, the connection is closed, and the Write returns, too.
	_ = c.SetWriteDeadline(time.Now().Add(closeGrace))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || followsClose(c.writeErr) {
		return io.EOF
	}
	return c.writeErr
}

// followsClose reports whether the error of a Write shows that the peer had closed its side:
// the Write did not end in time after that, or the peer reset the connection afterwards. Linux
// reports such a reset as EPIPE, and one without a close before it as ECONNRESET.
func followsClose(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}
