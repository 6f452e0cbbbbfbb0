package listener

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// acceptRetryDelay is the pause after an error of Accept.
const acceptRetryDelay = 20 * time.Millisecond

// socket is a listening socket. After stopAccepting, Accept blocks until Close,
// because the library calls a failing Accept in a busy loop.
type socket struct {
	net.Listener
	once   sync.Once
	closed chan struct{}

	// fence is set before started is closed. Accept waits for it.
	fence   *pollerFence
	started chan struct{}
}

func newSocket(inner net.Listener) *socket {
	return &socket{Listener: inner, closed: make(chan struct{}), started: make(chan struct{})}
}

// start lets Accept return connections.
func (s *socket) start(f *pollerFence) {
	s.fence = f
	close(s.started)
}

// Accept returns a connection of the library whose descriptor has no unhandled
// events of an earlier one.
func (s *socket) Accept() (net.Conn, error) {
	c, err := s.accept()
	if err != nil {
		<-s.closed
	}
	return c, err
}

// accept returns the next connection. It tries again after errors that pass, such as
// a lack of descriptors: the library accepts nothing more after an error.
func (s *socket) accept() (net.Conn, error) {
	for {
		c, err := s.acceptOnce()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		select {
		case <-time.After(acceptRetryDelay):
		case <-s.closed:
			return nil, err
		}
	}
}

func (s *socket) acceptOnce() (net.Conn, error) {
	accepted, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(accepted)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "convert accepted connection"), accepted.Close())
	}
	select {
	case <-s.started:
		err = s.fence.wait(s.closed)
	case <-s.closed:
		err = net.ErrClosed
	}
	if err != nil {
		return nil, errors.CombineErrors(err, c.Close())
	}
	return c, nil
}

func (s *socket) stopAccepting() { _ = s.Listener.Close() }

func (s *socket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Listener.Close()
}
