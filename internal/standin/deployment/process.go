package deployment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Roles of processes, in the order in which they are stopped.
const (
	RoleGateway = iota
	RoleSidecar
	roleStandIn
	roleCount
)

const exitPollInterval = 20 * time.Millisecond

// Process is one process of a deployment.
type Process struct {
	Name string `json:"name"`
	// Role is one of the Role constants.
	Role int `json:"role"`
	// Program is the path of the executable.
	Program   string   `json:"program"`
	Arguments []string `json:"arguments"`
	// Address is the address of a stand-in or the peer address of a gateway or
	// sidecar. AdminAddress serves /readyz; it is empty for stand-ins, which count
	// as ready when they accept connections at Address.
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address,omitempty"`
	PID          int    `json:"pid"`
	// StartTime is the start of the process in clock ticks since boot. Together
	// with the PID it identifies the process even if the PID is reused.
	StartTime string `json:"start_time"`

	// exit is nil if another program started the process.
	exit *exitState
}

// exitState reports the exit of a child process.
type exitState struct {
	// done is closed when the process has exited and released its ports.
	done chan struct{}
	// err is the result of Wait, valid after done is closed.
	err error
}

// start starts the process and appends its output to a file in the log folder.
func (p *Process) start(logs string) error {
	file, err := os.OpenFile(filepath.Join(logs, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	command := exec.Command(p.Program, p.Arguments...)
	command.Stdout = file
	command.Stderr = file
	// A process group of its own keeps terminal interrupts from the process,
	// because the tool stops the processes in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.PID = command.Process.Pid
	p.StartTime, err = startTime(p.PID)
	if err != nil {
		return errors.Wrapf(err, "identify %s", p.Name)
	}
	e := &exitState{done: make(chan struct{})}
	p.exit = e
	go func() {
		e.err = command.Wait()
		close(e.done)
	}()
	return nil
}

// exitError returns an error if this program started the process and its exit
// code is not 0. It must be called after awaitExit.
func (p *Process) exitError() error {
	if p.exit == nil {
		return nil
	}
	<-p.exit.done
	return errors.Wrapf(p.exit.err, "exit of %s", p.Name)
}

// startTime returns field 22 of /proc/PID/stat, the start in clock ticks since
// boot. The fields are counted after the program name, which is in parentheses
// and may contain spaces. A zombie counts as exited.
func startTime(pid int) (string, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", err
	}
	text := string(content)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const stateField, startField = 0, 19
	if len(fields) <= startField || fields[stateField] == "Z" {
		return "", errors.Newf("process %d has exited", pid)
	}
	return fields[startField], nil
}

// processorTime returns the user and system time of the process, or 0 if it has
// exited.
func (p *Process) processorTime() time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID))
	if err != nil || !p.Running() {
		return 0
	}
	text := string(content)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userField, systemField = 11, 12
	// Linux counts these fields in hundredths of a second on all processors that
	// Go supports.
	const tick = 10 * time.Millisecond
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * tick
}

// Running reports whether the process is still running. A child counts as running
// until it has been waited for, because the threads of a zombie can still hold
// its ports.
func (p *Process) Running() bool {
	if p.PID == 0 {
		return false
	}
	if p.exit != nil {
		select {
		case <-p.exit.done:
			return false
		default:
			return true
		}
	}
	t, err := startTime(p.PID)
	return err == nil && t == p.StartTime
}

// Signal sends the signal if the process is still running.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	return errors.Wrapf(syscall.Kill(p.PID, s), "signal %s", p.Name)
}

// awaitExit waits until the process exits and reports whether it did so before
// the deadline.
func (p *Process) awaitExit(deadline time.Time) bool {
	for p.Running() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(exitPollInterval)
	}
	return true
}

// stop waits until a process that has received SIGTERM exits, and kills it after
// the deadline.
func (p *Process) stop(deadline time.Time) error {
	if p.PID == 0 {
		return nil
	}
	if p.awaitExit(deadline) {
		return p.exitError()
	}
	_ = p.Signal(syscall.SIGKILL)
	p.awaitExit(time.Now().Add(exitTimeout))
	return errors.Newf("%s did not exit within the shutdown notice and was killed", p.Name)
}
