package listener

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/flamingohold/flamingohold/internal/connection/bytemeter"
	"github.com/flamingohold/flamingohold/internal/connection/stream"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// refusalLinger is how long a refused connection stays open, so that a caller
// that is still sending reads the refusal and not a reset.
const refusalLinger = 2 * time.Second

// refusalRetryAfter is stated in a refusal for lack of memory. The requests that use it
// end or are refused within seconds.
const refusalRetryAfter = time.Second

const (
	// requestBytes and fieldBytes are the memory that a request and each line of its
	// header take in addition to their bytes, in the listener and in the handler.
	// Requests of thousands of short fields take many times their bytes.
	requestBytes = 2 << 10
	fieldBytes   = 320
	// modestBytes is the memory of a connection's requests up to which they are still
	// accepted when those of all connections exceed the bound by less than
	// 1/modestReserve of it.
	modestBytes   = 64 << 10
	modestReserve = 4
	// minUnsentBytes is the number of unsent bytes of a connection that never make its
	// handler wait.
	minUnsentBytes = 64 << 10
)

// connection is the layer between the library's parser and its socket. It
// counts the unsent bytes, enforces the deadlines, and delays a close until the
// queue of unsent bytes is empty.
type connection struct {
	net.Conn
	socket   *nbio.Conn
	listener *Listener

	// queued is the number of bytes that were passed to the library and are not
	// sent yet.
	queued atomic.Int64
	// gone is true once the unsent bytes no longer count.
	gone atomic.Bool
	// sent is the total number of bytes sent.
	sent atomic.Int64
	// drained receives a value after bytes have been sent.
	drained chan struct{}
	// meter is used only by the goroutine of the poller.
	meter bytemeter.Meter

	mu sync.Mutex
	// active is the number of received requests whose response is not complete.
	active int
	// receiving is true from the first byte of a request to its last.
	receiving bool
	// closeWhenSent is true if the connection closes once its last response has
	// been sent.
	closeWhenSent bool
	// refusal is the error response after which the connection closes, nil for
	// none.
	refusal *problem.Problem
	// status replaces the status of the next response's head, 0 for none.
	status int
	// refusalSent is true once the refusal has been queued for sending.
	refusalSent bool
	// ended is true once the listener has decided to close the socket. Data that
	// was read but not parsed until then is not served.
	ended bool
	// finished is true once the socket is closed and all handlers have returned.
	finished bool
	cancel   context.CancelFunc
	// deadline is the time at which the socket is closed, zero for never.
	deadline time.Time
	// receiveDeadline is the time by which the current request must have been
	// received completely.
	receiveDeadline time.Time
	// lastSent and lastSentAt are the value and the time of the last change of
	// sent that inspect observed.
	lastSent   int64
	lastSentAt time.Time
	// held is the memory of the requests on the connection, and receivingBytes the part
	// of the request that is being received. requests holds those of the active ones.
	held, receivingBytes int64
	requests             []int64
	// released is true once held no longer counts.
	released bool
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
	size := len(data)
	if status := c.takeStatus(); status != 0 {
		data = withStatus(data, status)
	}
	c.addQueued(int64(len(data)))
	if _, err := c.Conn.Write(data); err != nil {
		c.addQueued(int64(-len(data)))
		if c.gone.Load() {
			c.settleQueued()
		}
		return 0, err
	}
	return size, nil
}

// addQueued adds n to the unsent bytes. If a write fails after a part of it was sent,
// queued is negative until settleQueued.
func (c *connection) addQueued(n int64) {
	c.queued.Add(n)
	c.listener.unsent.Add(n)
}

// settleQueued makes the unsent bytes of a closed connection zero.
func (c *connection) settleQueued() { c.listener.unsent.Add(-c.queued.Swap(0)) }

// SetStatus implements stream.Connection.
func (c *connection) SetStatus(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
}

// takeStatus returns the status of the head that is sent now, 0 if the library's is
// right.
func (c *connection) takeStatus() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.status
	c.status = 0
	return status
}

// withStatus returns the start of a response with another status line. The reason
// phrase, which is optional, is left out.
func withStatus(data []byte, status int) []byte {
	_, rest, _ := bytes.Cut(data, []byte("\r\n"))
	return append(fmt.Appendf(nil, "HTTP/1.1 %03d \r\n", status), rest...)
}

// recordSent records that the library has sent n bytes. It is called with the
// socket's lock held and must not call methods of the socket.
func recordSent(socket *nbio.Conn, _ []byte, n int) {
	c := connectionOf(socket)
	if c == nil {
		return
	}
	c.sent.Add(int64(n))
	c.addQueued(int64(-n))
	select {
	case c.drained <- struct{}{}:
	default:
	}
}

// Close closes the connection after the queue has been sent. The library calls
// it after the response to a request with "Connection: close".
func (c *connection) Close() error {
	c.mu.Lock()
	c.closeWhenSent = true
	c.mu.Unlock()
	c.endResponse(time.Now())
	return nil
}

// SetReadDeadline records the end of a response. The library calls it after a
// response to start the idle timeout. The library's own deadlines are not used,
// because it may set the first one while the first request is already running.
func (c *connection) SetReadDeadline(time.Time) error {
	c.endResponse(time.Now())
	return nil
}

// Closed reports whether the socket is closed.
func (c *connection) Closed() bool {
	closed, _ := c.socket.IsClosed()
	return closed
}

// Wait blocks until at most limit bytes are queued.
func (c *connection) Wait(limit int64) error {
	if c.mayQueue(limit) && !c.Closed() {
		return nil
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for !c.Closed() {
		if c.mayQueue(limit) {
			return nil
		}
		select {
		case <-c.drained:
		case <-ticker.C:
		}
	}
	return stream.ErrClosed
}

// mayQueue reports whether at most limit bytes are queued, and few if all connections
// together exceed their bound.
func (c *connection) mayQueue(limit int64) bool {
	queued := c.queued.Load()
	return queued <= limit && (queued <= minUnsentBytes || c.listener.unsent.Load() <= c.listener.options.MaxUnsentBytes)
}

// accepts reports whether data that arrives is parsed.
func (c *connection) accepts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal == nil && !c.ended
}

// charge adds the memory of a piece to that of the requests. It reports whether the
// request may be received further: while the requests of all connections exceed
// their bound, only modest ones are accepted, up to a reserve.
func (c *connection) charge(p bytemeter.Piece, starts bool) bool {
	cost := int64(p.Size)
	if starts {
		cost += requestBytes
	}
	if p.EndsLine {
		cost += fieldBytes
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return false
	}
	c.held += cost
	c.receivingBytes += cost
	total := c.listener.received.Add(cost)
	limit := c.listener.options.MaxReceivedBytes
	return total <= limit || (c.held <= modestBytes && total <= limit+limit/modestReserve)
}

// release ends the accounting of the closed connection's requests and responses.
func (c *connection) release() {
	c.gone.Store(true)
	c.settleQueued()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.released {
		c.listener.received.Add(-c.held)
		c.released = true
	}
}

// beginReceiving is called when a request begins to arrive. It returns false if the
// data must be ignored.
func (c *connection) beginReceiving(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal != nil || c.ended {
		return false
	}
	if !c.receiving && c.active == 0 {
		limits := c.listener.options.limits()
		c.receiveDeadline = now.Add(limits.ReceiveTimeout)
		c.deadline = c.receiveDeadline
		if limits.HeaderTimeout > 0 {
			c.deadline = now.Add(min(limits.HeaderTimeout, limits.ReceiveTimeout))
		}
	}
	c.receiving = true
	return true
}

// endHeader is called when the request header is complete.
func (c *connection) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == 0 {
		c.deadline = c.receiveDeadline
	}
}

// beginRequest is called when a request is complete. It returns false if the
// request must not be served.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	if c.refusal != nil || c.ended {
		return false
	}
	if c.active >= c.listener.options.MaxPipelined {
		c.refuseLocked(tooManyPipelined())
		return false
	}
	c.active++
	c.deadline = time.Time{}
	c.requests = append(c.requests, c.receivingBytes)
	c.receivingBytes = 0
	return true
}

// endResponse is called when a response has been queued completely.
func (c *connection) endResponse(now time.Time) {
	c.mu.Lock()
	c.active = max(0, c.active-1)
	c.cancel = nil
	c.endCharge()
	idle := c.active == 0
	closeWhenSent := c.closeWhenSent
	c.ended = c.ended || (idle && closeWhenSent)
	if idle {
		c.deadline = now.Add(c.listener.options.limits().IdleTimeout)
	}
	c.mu.Unlock()
	switch {
	case !idle:
	case closeWhenSent && c.queued.Load() == 0:
		c.abort()
	default:
		c.sendRefusal(now)
	}
}

// endCharge subtracts the memory of the oldest request. The caller must hold c.mu.
func (c *connection) endCharge() {
	if len(c.requests) == 0 || c.released {
		return
	}
	cost := c.requests[0]
	if c.requests = c.requests[1:]; len(c.requests) == 0 {
		c.requests = nil
	}
	c.held -= cost
	c.listener.received.Add(-cost)
}

// serving reports whether any request is being served.
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

// finish records that the last handler of a closed connection has returned.
func (c *connection) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
}

// refuse makes the problem the last response on the connection. Later calls have
// no effect.
func (c *connection) refuse(p problem.Problem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseLocked(p)
}

// refuseLocked is refuse for a caller that holds c.mu.
func (c *connection) refuseLocked(p problem.Problem) {
	if c.refusal != nil || c.ended {
		return
	}
	c.refusal = &p
	c.listener.options.OnRefusal(p.Kind())
}

// sendRefusal sends the refusal, if there is one, once the responses to earlier
// requests are complete.
func (c *connection) sendRefusal(now time.Time) {
	c.mu.Lock()
	due := c.refusal != nil && !c.refusalSent && c.active == 0
	c.refusalSent = c.refusalSent || due
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
	if p.RetryAfterSeconds > 0 {
		response.Header.Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	var buffer bytes.Buffer
	_ = response.Write(&buffer)
	return buffer.Bytes()
}

// inspect cancels the request of a caller that has disconnected. It closes a
// connection that has passed its deadline, that closes after its last response,
// or whose caller has read nothing within the timeout. It reports whether the
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
		c.lastSentAt = time.Time{}
	}
	expired := !c.deadline.IsZero() && now.After(c.deadline) && queued == 0
	if expired || (queued > 0 && c.stalled(now, stallTimeout)) {
		c.end()
		return true
	}
	if c.active > 0 || c.receiving || queued > 0 {
		return true
	}
	if c.closeWhenSent {
		c.end()
	}
	return false
}

// endIdle closes the connection, unless it receives or serves a request or has
// unsent data. It reports whether the connection is closed.
func (c *connection) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == 0 && !c.receiving && c.queued.Load() == 0 {
		c.end()
	}
	return c.Closed()
}

// abort is end for a caller that does not hold c.mu.
func (c *connection) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// end closes the socket, and is the only way to do so. Data that arrives meanwhile is
// not served. The caller must hold c.mu.
func (c *connection) end() {
	c.ended = true
	_ = c.socket.Close()
}

// stalled reports whether no byte has been sent within the timeout.
func (c *connection) stalled(now time.Time, timeout time.Duration) bool {
	if sent := c.sent.Load(); sent != c.lastSent || c.lastSentAt.IsZero() {
		c.lastSent = sent
		c.lastSentAt = now
	}
	return now.Sub(c.lastSentAt) > timeout
}
