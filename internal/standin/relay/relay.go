package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	bufferBytes  = 32 << 10
	dialTimeout  = 2 * time.Second
	silentPeriod = 20 * time.Millisecond
)

// Relay forwards TCP connections from its address to a target. It is safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	// refusing is true while new connections are closed at once.
	refusing atomic.Bool
	// delay is added to each piece of data in both directions, in nanoseconds.
	delay atomic.Int64

	mu sync.Mutex
	// pairs holds the open connections.
	pairs map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	caller, target net.Conn
	// silent is true from the moment after which the pair forwards nothing and
	// closes nothing.
	silent atomic.Bool
	// answersSilent is the same for the data from the target alone.
	answersSilent atomic.Bool
}

// New starts a relay on a free loopback port in front of the target address.
func New(target string) (*Relay, error) { return NewAt("127.0.0.1:0", target) }

// NewAt starts a relay on the address in front of the target address.
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
	return r.each(func(p *pair) { p.close() })
}

// Reset resets all open connections and returns their number.
func (r *Relay) Reset() int {
	return r.each(func(p *pair) {
		for _, c := range []net.Conn{p.caller, p.target} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
		}
		p.close()
	})
}

// SilenceAnswers stops forwarding from the target to the caller on all open
// connections, but not the other way, and returns their number.
func (r *Relay) SilenceAnswers() int {
	return r.each(func(p *pair) { p.answersSilent.Store(true) })
}

// Delay adds a delay to each piece of data from now on.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Silence stops forwarding on all open connections without closing them, and
// returns their number. New connections work.
func (r *Relay) Silence() int {
	return r.each(func(p *pair) { p.silent.Store(true) })
}

// Refuse sets whether new connections are closed at once.
func (r *Relay) Refuse(refuse bool) { r.refusing.Store(refuse) }

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.Cut()
	return err
}

func (r *Relay) each(act func(*pair)) int {
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
	directions.Go(func() { r.forward(p, target, caller, &p.answersSilent) })
	directions.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// forward copies one direction until an end closes. A silent pair swallows the
// bytes and the close.
func (r *Relay) forward(p *pair, from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(r.delay.Load()))
		if p.silent.Load() || silent.Load() {
			if err != nil {
				return
			}
			time.Sleep(silentPeriod)
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
