package listener

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// pollerStartTimeout bounds the time until the poller runs.
const pollerStartTimeout = 30 * time.Second

// awaitPoller waits until the engine's poller has read a byte. A poller that
// first runs after the engine was stopped misses the stop: it runs in a busy
// loop, and Engine.Stop never returns.
func awaitPoller(engine *nbio.Engine) error {
	sockets, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return errors.Wrap(err, "open socket pair")
	}
	local := os.NewFile(uintptr(sockets[0]), "near")
	remote := os.NewFile(uintptr(sockets[1]), "far")
	defer func() { _ = local.Close() }()
	netConn, err := net.FileConn(remote)
	_ = remote.Close()
	if err != nil {
		return errors.Wrap(err, "open probe connection")
	}
	probe, err := nbio.NBConn(netConn)
	if err != nil {
		return errors.Wrap(err, "open probe connection")
	}
	running := make(chan struct{}, 1)
	probe.OnData(func(*nbio.Conn, []byte) { running <- struct{}{} })
	if _, err := engine.AddConn(probe); err != nil {
		return errors.Wrap(err, "add probe connection")
	}
	defer func() { _ = probe.Close() }()
	if _, err := local.Write([]byte{0}); err != nil {
		return errors.Wrap(err, "write to probe connection")
	}
	select {
	case <-running:
		return nil
	case <-time.After(pollerStartTimeout):
		return errors.New("the poller did not read the probe byte in time")
	}
}
