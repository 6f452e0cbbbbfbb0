package upstreamclient

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/peerclose"
)

const (
	readBufferBytes = 4 << 10
	// smallRequestBytes is the size up to which a request is sent before the
	// answer is read. A larger one is written while the answer is read, as the
	// peer may answer before it has read the request.
	smallRequestBytes = 8 << 10
	// maxUnrelatedAnswers bounds the interim answers and the answers to other
	// requests that are discarded before the connection is closed.
	maxUnrelatedAnswers = 4
	// maxCarried bounds the requests with an identifier on one connection.
	maxCarried = 256
	// maxHeadBytes bounds the head of an answer, with interim answers.
	maxHeadBytes = 64 << 10
	// maxUnrelatedBytes bounds the body of an answer to another request.
	maxUnrelatedBytes = 1 << 20
)

var errUnrelatedAnswers = errors.New("connection delivers answers to other requests")

// connection is one connection to a peer. It carries one exchange at a time.
type connection struct {
	pool    *Pool
	address string
	socket  *peerclose.Conn
	// source bounds and checks what reader reads of a head.
	source *headSource
	reader *bufio.Reader
	// idleTimeout is how long the peer keeps an idle connection open.
	idleTimeout time.Duration
	// used is true once a request was sent, and carried holds hashes of the identifiers
	// of the requests that were.
	used    bool
	carried []uint64
	// idleSince is when the last exchange ended, zero for a new connection.
	idleSince time.Time
}

func newConnection(p *Pool, address string, socket *peerclose.Conn) *connection {
	source := &headSource{source: socket}
	return &connection{
		pool: p, address: address, socket: socket, source: source,
		reader: bufio.NewReaderSize(source, readBufferBytes), idleTimeout: defaultIdle,
	}
}

func (c *connection) close() { _ = c.socket.Close() }

func (c *connection) expired(now time.Time) bool {
	return now.Sub(c.idleSince) > c.idleTimeout-idleMargin
}

// reusable reports whether an idle connection can carry another request.
func (c *connection) reusable(now time.Time, fresh bool) bool {
	if c.expired(now) || (fresh && now.Sub(c.idleSince) > freshIdle) {
		return false
	}
	return c.openAndEmpty()
}

// openAndEmpty reports whether the peer has neither closed the connection nor
// sent data that are unread.
func (c *connection) openAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.socket.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// mayCarry reports whether an answer to the request can be told from the answers to
// those before. A faulty peer may repeat an earlier answer, which names its request. So
// a request that is sent again needs another connection.
func (c *connection) mayCarry(id string) bool {
	return id == "" || len(c.carried) < maxCarried && !slices.Contains(c.carried, xxhash.Sum64String(id))
}

// belongs reports whether the answer with the header is one to the request, the first
// on its connection or not.
func (r *Request) belongs(h http.Header, first bool) bool {
	if r.AnsweredID == nil {
		return true
	}
	id := r.AnsweredID(h)
	return id == r.ID || id == "" && first
}

// exchange sends the request and reads the head of the answer.
func (c *connection) exchange(ctx context.Context, r *Request) (*Answer, error) {
	if r.ID != "" {
		c.carried = append(c.carried, xxhash.Sum64String(r.ID))
	}
	stop := context.AfterFunc(ctx, c.close)
	sent, err := c.send(r)
	if err != nil {
		stop()
		c.close()
		return nil, &Failure{Step: "send", Address: c.address, Sent: true, Err: cause(ctx, err)}
	}
	response, err := c.receive(r)
	if err != nil {
		stop()
		c.close()
		return nil, &Failure{Step: "receive", Address: c.address, Sent: true, Err: cause(ctx, err)}
	}
	c.readKeepAlive(response.Header)
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, chunked: len(response.TransferEncoding) > 0,
		body: response.Body, connection: c, mustClose: response.Close, stop: stop, sent: sent, ctx: ctx,
		buffered: share{bound: c.pool.buffered}, reserved: share{bound: c.pool.reserved},
	}, nil
}

// send writes the request, a large one in the background. The channel receives
// the result of the write.
func (c *connection) send(r *Request) (<-chan error, error) {
	data := r.encode()
	sent := make(chan error, 1)
	if len(data) <= smallRequestBytes {
		_, err := c.socket.Write(data)
		sent <- nil
		return sent, err
	}
	go func() {
		_, err := c.socket.Write(data)
		sent <- err
	}()
	return sent, nil
}

// receive reads the head of the answer to the request. It discards interim (1xx)
// answers and answers to other requests. A malformed head is an error.
func (c *connection) receive(r *Request) (*http.Response, error) {
	first := !c.used
	c.used = true
	for range maxUnrelatedAnswers {
		response, err := c.readHead(r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.belongs(response.Header, first) {
			return response, nil
		}
		first = false
		if err := discardUnrelated(response); err != nil {
			return nil, err
		}
	}
	return nil, errUnrelatedAnswers
}

// readHead reads the next head, of an interim answer or of one to any request.
func (c *connection) readHead(r *Request) (*http.Response, error) {
	// Peek returns what is buffered without reading.
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.source.begin(maxHeadBytes, buffered); err != nil {
		return nil, err
	}
	defer c.source.end()
	return http.ReadResponse(c.reader, &http.Request{Method: r.Method})
}

// discardUnrelated reads an answer to another request to its end. It returns an
// error if the end cannot be determined or the body is too large.
func discardUnrelated(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errUnrelatedAnswers
	}
	n, err := discard(response)
	if err != nil {
		return err
	}
	if n > maxUnrelatedBytes {
		return errUnrelatedAnswers
	}
	return nil
}

// discard reads the body until it exceeds maxUnrelatedBytes, and returns the
// number of bytes read.
func discard(response *http.Response) (int, error) {
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, readBufferBytes)
	total := 0
	for total <= maxUnrelatedBytes {
		n, err := response.Body.Read(buffer)
		total += n
		if isEnd(err) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// readKeepAlive sets the idle timeout from the Keep-Alive field of an answer.
func (c *connection) readKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			c.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}

// cause returns the cause of the context's cancellation if there was one, as the
// cancellation closed the connection; otherwise it returns err.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
