package deployment

import (
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startSleep(t *testing.T) *Process {
	t.Helper()
	p := &Process{Name: "sleep", Program: "sleep", Arguments: []string{"600"}}
	require.NoError(t, p.start(t.TempDir()))
	t.Cleanup(func() { _ = p.Signal(syscall.SIGKILL) })
	return p
}

// Guards against a stop that leaves the process running or does not detect its
// exit.
func TestProcessExitsOnSignal(t *testing.T) {
	p := startSleep(t)
	require.True(t, p.Running())
	require.NoError(t, p.Signal(syscall.SIGTERM))
	require.True(t, p.awaitExit(time.Now().Add(time.Minute)))
	require.NoError(t, p.Signal(syscall.SIGTERM))
	require.ErrorContains(t, p.exitError(), "exit of sleep")
}

// Guards against a signal to another process that has reused the PID.
func TestSignalSkipsReusedPID(t *testing.T) {
	p := startSleep(t)
	other := *p
	other.exit = nil
	other.StartTime = "1"
	require.False(t, other.Running())
	require.NoError(t, other.Signal(syscall.SIGKILL))
	time.Sleep(50 * time.Millisecond)
	require.True(t, p.Running())
}

// Guards against a restart that fails because the killed process still holds its
// port: the main thread is a zombie before the other threads have exited.
func TestUnreapedChildCountsAsRunning(t *testing.T) {
	command := exec.Command("sleep", "600")
	require.NoError(t, command.Start())
	pid := command.Process.Pid
	started, err := startTime(pid)
	require.NoError(t, err)
	p := &Process{Name: "sleep", PID: pid, StartTime: started, exit: &exitState{done: make(chan struct{})}}
	require.NoError(t, command.Process.Kill())
	require.Eventually(t, func() bool {
		_, err := startTime(pid)
		return err != nil
	}, time.Minute, time.Millisecond)
	require.True(t, p.Running())
	require.Error(t, command.Wait())
	close(p.exit.done)
	require.False(t, p.Running())
}
