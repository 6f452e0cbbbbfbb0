package answerhead

import (
	"context"
	"net"
	"sync"
)

// DialFunc opens a connection. It is the type of DialContext in http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections whose heads are checked. It is for
// transports that use each connection for one request.
func Dial(dial DialFunc) DialFunc { return checked(dial, false) }

// DialKept is Dial for transports that use a connection for several requests, none of
// which has a body.
func DialKept(dial DialFunc) DialFunc { return checked(dial, true) }

func checked(dial DialFunc, kept bool) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: socket, kept: kept}, nil
	}
}

// conn is a connection whose Read returns ErrMalformed in place of a malformed head.
type conn struct {
	net.Conn
	// kept is true if a write behind the head of an answer starts another request.
	kept bool

	mu      sync.Mutex
	checker Checker
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if malformed := c.checker.Check(buffer[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.startRequest()
	return c.Conn.Write(data)
}

func (c *conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept && c.checker.Done() {
		c.checker.Reset()
	}
}
