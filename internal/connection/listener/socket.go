package listener

import (
	"net"
	"sync"
)

// socket is a listening socket. After stopAccepting, Accept blocks until Close,
// because the library calls a failing Accept in a busy loop.
type socket struct {
	net.Listener
	once   sync.Once
	closed chan struct{}
}

func (s *socket) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		<-s.closed
	}
	return c, err
}

func (s *socket) stopAccepting() { _ = s.Listener.Close() }

func (s *socket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Listener.Close()
}
