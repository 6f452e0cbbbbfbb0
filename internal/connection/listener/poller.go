package listener

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// pollerStartTimeout bounds the time until the poller runs.
const pollerStartTimeout = 30 * time.Second

// pollerFence waits until the poller has handled all events that it has read.
//
// The poller finds the connection of an event by its file descriptor. If a
// connection is closed elsewhere after its event was read, the descriptor may be
// used again before the event is handled, and the event would close the new
// connection. A new connection that passes the fence before the poller learns of
// it gets no such event.
type pollerFence struct {
	// local is written to, and the poller reads what arrives at remote.
	local  *os.File
	remote *nbio.Conn

	// mu admits one wait at a time.
	mu sync.Mutex
	// read receives a value for each read of the poller.
	read chan struct{}
}

// newPollerFence returns a fence of the engine's poller.
func newPollerFence(engine *nbio.Engine) (*pollerFence, error) {
	sockets, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket pair")
	}
	f := &pollerFence{local: os.NewFile(uintptr(sockets[0]), "near"), read: make(chan struct{}, 1)}
	remote := os.NewFile(uintptr(sockets[1]), "far")
	netConn, err := net.FileConn(remote)
	_ = remote.Close()
	if err == nil {
		f.remote, err = nbio.NBConn(netConn)
	}
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "open fence connection"), f.local.Close())
	}
	f.remote.OnData(func(*nbio.Conn, []byte) { f.read <- struct{}{} })
	if _, err := engine.AddConn(f.remote); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "add fence connection"), f.local.Close())
	}
	return f, nil
}

// awaitStart waits until the poller runs. A poller that first runs after the engine
// was stopped misses the stop: it runs in a busy loop, and Engine.Stop never
// returns.
func (f *pollerFence) awaitStart() error {
	timeout := make(chan struct{})
	timer := time.AfterFunc(pollerStartTimeout, func() { close(timeout) })
	defer timer.Stop()
	return errors.Wrap(f.wait(timeout), "start of the poller")
}

// wait blocks until the poller has handled all events that it read before the
// call. It returns an error if cancelled is closed first; the fence must not be
// used after that.
func (f *pollerFence) wait(cancelled <-chan struct{}) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.local.Write([]byte{0}); err != nil {
		return errors.Wrap(err, "write to fence connection")
	}
	select {
	case <-f.read:
		return nil
	case <-cancelled:
		return errors.New("the poller did not read the fence's byte in time")
	}
}

// close closes the fence. The engine closes the remote end when it stops.
func (f *pollerFence) close() error { return f.local.Close() }
