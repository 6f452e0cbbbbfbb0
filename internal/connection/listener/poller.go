package listener

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// pollerTimeout bounds the start of the poller.
const pollerTimeout = 30 * time.Second

// awaitPoller waits until the engine's poller has read a byte. A poller that is
// scheduled only after the engine was stopped forgets the stop: it runs in a busy
// loop, and the stop never returns.
func awaitPoller(engine *nbio.Engine) error {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return errors.Wrap(err, "open socket pair")
	}
	near := os.NewFile(uintptr(pair[0]), "near")
	far := os.NewFile(uintptr(pair[1]), "far")
	defer func() { _ = near.Close() }()
	standard, err := net.FileConn(far)
	_ = far.Close()
	if err != nil {
		return errors.Wrap(err, "open probe connection")
	}
	probe, err := nbio.NBConn(standard)
	if err != nil {
		return errors.Wrap(err, "open probe connection")
	}
	running := make(chan struct{}, 1)
	probe.OnData(func(*nbio.Conn, []byte) { running <- struct{}{} })
	if _, err := engine.AddConn(probe); err != nil {
		return errors.Wrap(err, "add probe connection")
	}
	defer func() { _ = probe.Close() }()
	if _, err := near.Write([]byte{0}); err != nil {
		return errors.Wrap(err, "write to probe connection")
	}
	select {
	case <-running:
		return nil
	case <-time.After(pollerTimeout):
		return errors.New("the poller did not start")
	}
}
