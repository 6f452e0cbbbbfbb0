package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	bufferBytes = 32 << 10
	dialTimeout = 2 * time.Second
	// discardInterval is the pause between two reads whose data is discarded.
	discardInterval = 20 * time.Millisecond
)

// Relay forwards TCP connections from its address to a target. It is safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	// refusing is true while new connections are closed immediately.
	refusing atomic.Bool
	// delay, in nanoseconds, is added to each chunk of data in both directions.
	delay atomic.Int64

	mu sync.Mutex
	// pairs holds the open relayed connections.
	pairs map[*pair]struct{}
}

// pair is one relayed connection: from the caller to the relay and from the relay
// to the target.
type pair struct {
	caller, target net.Conn
	// silent is set when the pair must forward neither data nor closes.
	silent atomic.Bool
	// responsesSilent is set when the pair must forward neither data nor closes
	// from the target to the caller.
	responsesSilent atomic.Bool
}

// New starts a relay to the target address on a free loopback port.
func New(target string) (*Relay, error) { return NewAt("127.0.0.1:0", target) }

// NewAt starts a relay to the target address on the given address. Both are
// "ip:port".
func NewAt(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{listener: listener, target: target, pairs: make(map[*pair]struct{})}
	go r.accept()
	return r, nil
}

// Address returns the relay's "ip:port".
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut closes all open connections and returns their number.
func (r *Relay) Cut() int {
	return r.forEachPair(func(p *pair) { p.close() })
}

// Reset closes all open connections with a TCP reset and returns their number.
func (r *Relay) Reset() int {
	return r.forEachPair(func(p *pair) {
		for _, c := range []net.Conn{p.caller, p.target} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
		}
		p.close()
	})
}

// SilenceResponses stops forwarding from the target to the caller on all open
// connections, but not from the caller to the target, and returns their number.
func (r *Relay) SilenceResponses() int {
	return r.forEachPair(func(p *pair) { p.responsesSilent.Store(true) })
}

// SetDelay sets the delay that is added to each chunk of data in both
// directions, on open and new connections.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Silence stops forwarding in both directions on all open connections without
// closing them, and returns their number. New connections work.
func (r *Relay) Silence() int {
	return r.forEachPair(func(p *pair) { p.silent.Store(true) })
}

// SetRefusing sets whether new connections are closed immediately.
func (r *Relay) SetRefusing(refuse bool) { r.refusing.Store(refuse) }

// Close stops the relay and closes its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.Cut()
	return err
}

// forEachPair calls act for each open connection and returns their number.
func (r *Relay) forEachPair(act func(*pair)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		act(p)
	}
	return len(r.pairs)
}

func (r *Relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(caller)
	}
}

func (r *Relay) serve(caller net.Conn) {
	if r.refusing.Load() {
		_ = caller.Close()
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		_ = caller.Close()
		return
	}
	p := &pair{caller: caller, target: target}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(p, caller, target, &p.silent) })
	directions.Go(func() { r.forward(p, target, caller, &p.responsesSilent) })
	directions.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// forward copies data in one direction until one end closes, and then forwards the
// close. In a silenced direction it discards both.
func (r *Relay) forward(p *pair, from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(r.delay.Load()))
		if p.silent.Load() || silent.Load() {
			if err != nil {
				return
			}
			time.Sleep(discardInterval)
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			closeWrite(to)
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (p *pair) close() {
	_ = p.caller.Close()
	_ = p.target.Close()
}
