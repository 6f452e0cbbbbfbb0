package answerhead

import (
	"context"
	"net"
	"sync"

	"github.com/flamingohold/flamingohold/internal/connection/peerclose"
)

// DialFunc opens a connection. It is the type of DialContext in http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections whose heads are checked, and whose end by a
// reset is an error also if a write gets it (package peerclose). It is for transports that use
// each connection for one request.
func Dial(dial DialFunc) DialFunc {
	return wrapping(dial, func(socket net.Conn) net.Conn { return &conn{Conn: socket} })
}

// DialKept is Dial for transports that use a connection for several requests, none of
// which has a body.
func DialKept(dial DialFunc) DialFunc {
	return wrapping(dial, func(socket net.Conn) net.Conn { return &keptConn{conn: conn{Conn: socket}} })
}

func wrapping(dial DialFunc, wrap func(net.Conn) net.Conn) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(peerclose.New(socket)), nil
	}
}

// conn is a connection for one request. Its Read returns ErrMalformed in place of a malformed
// head, and must not be called concurrently.
type conn struct {
	net.Conn
	checker Checker
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	return c.check(buffer[:n], err)
}

// check returns the result of a read of the data that ended with the error.
func (c *conn) check(data []byte, err error) (int, error) {
	if malformed := c.checker.Check(data); malformed != nil {
		return 0, malformed
	}
	return len(data), err
}

// keptConn is a connection for several requests. A write behind the head of an answer starts
// the next request.
type keptConn struct {
	conn
	// mu guards the checker, since a transport reads and writes concurrently.
	mu sync.Mutex
}

// Read implements net.Conn.
func (c *keptConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.check(buffer[:n], err)
}

// Write implements net.Conn.
func (c *keptConn) Write(data []byte) (int, error) {
	c.startRequest()
	return c.Conn.Write(data)
}

func (c *keptConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checker.Done() {
		c.checker.Reset()
	}
}
