package upstreamclient

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/flamingohold/flamingohold/internal/connection/peerclose"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive
	// settings that detect a peer that no longer responds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout is how long sent data may remain unacknowledged before the
	// kernel closes the connection.
	userTimeout = 3 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
	// defaultIdle is the idle timeout of the peer if it does not state one. A
	// connection is not reused in the last idleMargin before the timeout.
	defaultIdle = 4 * time.Second
	idleMargin  = 500 * time.Millisecond
	// freshIdle is the longest idle time of a connection for a request that
	// is not repeatable.
	freshIdle = 1500 * time.Millisecond
	// maxBufferedBytes bounds the bodies that are being read completely, of all
	// answers together.
	maxBufferedBytes = 16 << 20
	// maxReservedBytes bounds the incomplete events of all streams together. It is
	// apart from maxBufferedBytes, so that faulty engines do not fail plain requests.
	maxReservedBytes = 16 << 20
	// maxIdle bounds the idle connections to one address.
	maxIdle = 64
)

// Options are the settings of a pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// OnDial is called after each connection is opened, unless it is nil.
	OnDial func(address string)
}

// Pool opens connections and keeps idle ones for reuse, by address. It is safe
// for concurrent use.
type Pool struct {
	options Options
	dialer  *net.Dialer
	clock   func() time.Time
	// buffered bounds the bodies that are being read completely.
	buffered *memoryBound
	// reserved bounds the incomplete events that readers of streams keep.
	reserved *memoryBound

	mu   sync.Mutex
	idle map[string][]*connection
}

// New returns an empty pool.
func New(options Options, clock func() time.Time) *Pool {
	dialer := &net.Dialer{
		Timeout:         options.DialTimeout,
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return &Pool{
		options: options, dialer: dialer, clock: clock, idle: make(map[string][]*connection),
		buffered: newMemoryBound(maxBufferedBytes, "answers"), reserved: newMemoryBound(maxReservedBytes, "events"),
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Send sends the request, reads the head of the answer and returns the answer,
// which the caller must close. Cancelling the context closes the connection, also
// while the body is being read. Every error is a *Failure.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, err := p.connection(ctx, address, r.ID, r.MustBeFresh)
	if err != nil {
		return nil, &Failure{Step: "dial", Address: address, Err: err}
	}
	if err := r.admit(); err != nil {
		p.putUnused(c)
		return nil, &Failure{Step: "admit", Address: address, Err: err}
	}
	return c.exchange(ctx, r)
}

// Reach returns an error if the address accepts no connection and no idle
// connection to it is open.
func (p *Pool) Reach(ctx context.Context, address string) error {
	c, err := p.connection(ctx, address, "", false)
	if err != nil {
		return &Failure{Step: "dial", Address: address, Err: err}
	}
	p.putUnused(c)
	return nil
}

// putUnused keeps a connection on which nothing was sent since it was taken or opened.
func (p *Pool) putUnused(c *connection) {
	c.idleSince = p.clock()
	p.putIdle(c)
}

// connection returns an idle connection for the request with the identifier, or opens
// one.
func (p *Pool) connection(ctx context.Context, address, id string, fresh bool) (*connection, error) {
	for {
		c := p.takeIdle(address, id)
		if c == nil {
			return p.open(ctx, address)
		}
		if c.reusable(p.clock(), fresh) {
			return c, nil
		}
		c.close()
	}
}

// takeIdle removes and returns the most recently used idle connection that may carry
// the request with the identifier, nil if there is none.
func (p *Pool) takeIdle(address, id string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; c.mayCarry(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) open(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.options.OnDial != nil {
		p.options.OnDial(address)
	}
	return newConnection(p, address, peerclose.New(socket)), nil
}

func (p *Pool) putIdle(c *connection) {
	p.mu.Lock()
	list := p.idle[c.address]
	var surplus *connection
	if len(list) >= maxIdle {
		surplus, list = list[0], list[1:]
	}
	p.idle[c.address] = append(list, c)
	p.mu.Unlock()
	if surplus != nil {
		surplus.close()
	}
}

// CloseAddress closes all idle connections to the address.
func (p *Pool) CloseAddress(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// CloseIdle closes the connections that have been idle for too long to be
// reused.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var stale []*connection
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.expired(now) {
				stale = append(stale, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.close()
	}
}
