package listener

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/flamingohold/flamingohold/internal/connection/stream"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// refusalLinger is how long a refused connection stays open, so that a caller
// that is still sending reads the refusal and not a reset.
const refusalLinger = 2 * time.Second

// connection stands between the library's parser and its socket. It counts the
// unsent bytes, sets the read deadlines, and delays a close until the queue is
// empty.
type connection struct {
	net.Conn
	socket   *nbio.Conn
	listener *Listener

	// queued is the number of bytes handed to the library and not yet sent.
	queued atomic.Int64
	// sent is the total number of bytes sent.
	sent atomic.Int64
	// drained receives a value when bytes were sent.
	drained chan struct{}

	mu sync.Mutex
	// active is the number of received requests that are not answered yet.
	active int
	// receiving is true from the first byte of a request to its last.
	receiving bool
	// ending is true if the connection closes after its last answer.
	ending bool
	// refusal is the last answer on the connection, nil for none.
	refusal *problem.Problem
	// refused is true once the refusal was sent.
	refused bool
	// finished is true once the socket is closed and no handler runs any more.
	finished bool
	cancel   context.CancelFunc
	// deadline is when the socket is closed, zero for never.
	deadline time.Time
	// receiveBy is when the request that arrives must be there whole.
	receiveBy time.Time
	// seenSent and seenAt are the last change of sent that inspect found.
	seenSent int64
	seenAt   time.Time
}

func newConnection(l *Listener, socket *nbio.Conn, now time.Time) *connection {
	return &connection{
		socket:   socket,
		listener: l,
		drained:  make(chan struct{}, 1),
		deadline: now.Add(l.options.limits().IdleTimeout),
	}
}

// connectionOf returns the connection on the socket, nil before its first
// request.
func connectionOf(socket *nbio.Conn) *connection {
	parser, ok := socket.Session().(*nbhttp.Parser)
	if !ok {
		return nil
	}
	c, _ := parser.Conn.(*connection)
	return c
}

// Write queues data. The library calls it.
func (c *connection) Write(data []byte) (int, error) {
	c.queued.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// written records that the library has sent n bytes. It is called with the
// socket's lock held and must not call the socket.
func written(socket *nbio.Conn, _ []byte, n int) {
	c := connectionOf(socket)
	if c == nil {
		return
	}
	c.sent.Add(int64(n))
	c.queued.Add(int64(-n))
	select {
	case c.drained <- struct{}{}:
	default:
	}
}

// Close ends the connection after the queue has been sent. The library calls it
// after an answer to a request with "Connection: close".
func (c *connection) Close() error {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	c.endAnswer(time.Now())
	return nil
}

// SetReadDeadline ends an answer. The library calls it after an answer to start
// the idle time. The library's own deadlines are not used, because it sets the
// first one at a moment when the first request may already be running.
func (c *connection) SetReadDeadline(time.Time) error {
	c.endAnswer(time.Now())
	return nil
}

// Closed reports whether the socket is closed.
func (c *connection) Closed() bool {
	closed, _ := c.socket.IsClosed()
	return closed
}

// Wait blocks until at most limit bytes are queued.
func (c *connection) Wait(limit int64) error {
	if c.queued.Load() <= limit && !c.Closed() {
		return nil
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for !c.Closed() {
		if c.queued.Load() <= limit {
			return nil
		}
		select {
		case <-c.drained:
		case <-ticker.C:
		}
	}
	return stream.ErrClosed
}

// beginReceiving is called when data arrive. It returns false if they must be
// ignored.
func (c *connection) beginReceiving(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal != nil {
		return false
	}
	if !c.receiving && c.active == 0 {
		limits := c.listener.options.limits()
		c.receiveBy = now.Add(limits.ReceiveTimeout)
		c.deadline = c.receiveBy
		if limits.HeaderTimeout > 0 {
			c.deadline = now.Add(min(limits.HeaderTimeout, limits.ReceiveTimeout))
		}
	}
	c.receiving = true
	return true
}

// endHeader is called when a whole header has arrived.
func (c *connection) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == 0 {
		c.deadline = c.receiveBy
	}
}

// beginRequest is called when a whole request has arrived. It returns false if
// the request must not be served.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	if c.refusal != nil {
		return false
	}
	c.active++
	c.deadline = time.Time{}
	return true
}

// endAnswer is called when an answer has been queued whole.
func (c *connection) endAnswer(now time.Time) {
	c.mu.Lock()
	c.active = max(0, c.active-1)
	c.cancel = nil
	idle := c.active == 0
	ending := c.ending
	if idle {
		c.deadline = now.Add(c.listener.options.limits().IdleTimeout)
	}
	c.mu.Unlock()
	switch {
	case !idle:
	case ending && c.queued.Load() == 0:
		_ = c.socket.Close()
	default:
		c.sendRefusal(now)
	}
}

// serving reports whether a handler runs or waits.
func (c *connection) serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > 0
}

func (c *connection) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// finish records that the library has run the last handler of a closed
// connection.
func (c *connection) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
}

// refuse makes the problem the last answer on the connection.
func (c *connection) refuse(p problem.Problem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal == nil {
		c.refusal = &p
	}
}

// sendRefusal sends the refusal after the answers to earlier requests.
func (c *connection) sendRefusal(now time.Time) {
	c.mu.Lock()
	due := c.refusal != nil && !c.refused && c.active == 0
	c.refused = c.refused || due
	c.receiving = c.receiving && c.refusal == nil
	if due {
		c.deadline = now.Add(refusalLinger)
	}
	c.mu.Unlock()
	if due {
		_, _ = c.Write(encodeRefusal(*c.refusal))
	}
}

func encodeRefusal(p problem.Problem) []byte {
	body, err := json.Marshal(p)
	if err != nil {
		return nil
	}
	response := http.Response{
		ProtoMajor:    1,
		ProtoMinor:    1,
		StatusCode:    p.Status,
		Header:        http.Header{"Content-Type": {problem.MediaType}},
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
		Close:         true,
	}
	var buffer bytes.Buffer
	_ = response.Write(&buffer)
	return buffer.Bytes()
}

// inspect cancels the request of a caller that has gone, closes a connection
// that is overdue, that is to end or whose caller takes nothing, and reports whether the
// connection is still busy.
func (c *connection) inspect(now time.Time, stallTimeout time.Duration) bool {
	closed := c.Closed()
	queued := c.queued.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if closed {
		if c.cancel != nil {
			c.cancel()
		}
		return !c.finished && c.active > 0
	}
	if queued == 0 {
		c.seenAt = time.Time{}
	}
	overdue := !c.deadline.IsZero() && now.After(c.deadline) && queued == 0
	if overdue || (queued > 0 && c.stalled(now, stallTimeout)) {
		_ = c.socket.Close()
		return true
	}
	if c.active > 0 || c.receiving || queued > 0 {
		return true
	}
	if c.ending {
		_ = c.socket.Close()
	}
	return false
}

// stalled reports whether nothing was sent for the timeout.
func (c *connection) stalled(now time.Time, timeout time.Duration) bool {
	if sent := c.sent.Load(); sent != c.seenSent || c.seenAt.IsZero() {
		c.seenSent = sent
		c.seenAt = now
	}
	return now.Sub(c.seenAt) > timeout
}
