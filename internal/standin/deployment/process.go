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
	// Program and Arguments start the process.
	Program   string   `json:"program"`
	Arguments []string `json:"arguments"`
	// Address is probed to learn whether the process serves; AdminAddress is
	// empty for stand-ins.
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address,omitempty"`
	PID          int    `json:"pid"`
	// StartTime is the process's start in clock ticks since boot. With the PID
	// it identifies the process even when the PID is used again.
	StartTime string `json:"start_time"`

	// exit is the end of a process that this program started; nil for others.
	exit *exit
}

// exit is the end of a child process.
type exit struct {
	// done is closed when the process has ended and released its ports.
	done chan struct{}
	// err is valid after done is closed.
	err error
}

// start runs the process with its output in the log folder.
func (p *Process) start(logs string) error {
	file, err := os.OpenFile(filepath.Join(logs, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	command := exec.Command(p.Program, p.Arguments...)
	command.Stdout = file
	command.Stderr = file
	// The process must not receive an interrupt of the terminal, because the
	// tool stops the processes in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.PID = command.Process.Pid
	p.StartTime, err = startTime(p.PID)
	if err != nil {
		return errors.Wrapf(err, "identify %s", p.Name)
	}
	e := &exit{done: make(chan struct{})}
	p.exit = e
	go func() {
		e.err = command.Wait()
		close(e.done)
	}()
	return nil
}

// exitError returns an error if the process was started by this program and has
// ended otherwise than with code 0. It must be called after await.
func (p *Process) exitError() error {
	if p.exit == nil {
		return nil
	}
	<-p.exit.done
	return errors.Wrapf(p.exit.err, "exit of %s", p.Name)
}

// startTime returns field 22 of /proc/PID/stat. The fields are counted after
// the name, which is in parentheses and may hold spaces. A zombie counts as
// ended.
func startTime(pid int) (string, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", err
	}
	text := string(content)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const stateField, startField = 0, 19
	if len(fields) <= startField || fields[stateField] == "Z" {
		return "", errors.Newf("process %d has ended", pid)
	}
	return fields[startField], nil
}

// processorTime returns the time that the process has spent on processors, 0 if
// it has ended.
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

// Running reports whether the process still runs. A child runs until it has been
// waited for, because the threads of a zombie can still hold its ports.
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

// Signal sends the signal if the process still runs.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	return errors.Wrapf(syscall.Kill(p.PID, s), "signal %s", p.Name)
}

// await reports whether the process ends before the deadline.
func (p *Process) await(deadline time.Time) bool {
	for p.Running() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(exitPollInterval)
	}
	return true
}

// finish waits for the end of a process that was asked to stop, and kills it
// after the deadline.
func (p *Process) finish(deadline time.Time) error {
	if p.PID == 0 {
		return nil
	}
	if p.await(deadline) {
		return p.exitError()
	}
	_ = p.Signal(syscall.SIGKILL)
	p.await(time.Now().Add(killMargin))
	return errors.Newf("%s was killed after the shutdown notice", p.Name)
}
