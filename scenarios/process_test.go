package scenarios_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startTimeout and exitTimeout are far longer than a loaded machine needs.
	startTimeout = 60 * time.Second
	exitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is one process of a cluster, which can be started again after it has
// exited.
type process struct {
	name      string
	arguments []string
	// directory receives the log, as <name>.log.
	directory string
	// probe is the URL that returns status 200 once the process is ready.
	probe   string
	command *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.arguments[0], p.arguments[1:]...)
	p.command.Stdout = log
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// awaitProbe blocks until the probe returns status 200, and fails if the process
// exits first.
func (p *process) awaitProbe() error {
	err := poll(startTimeout, "start of "+p.name, func() bool {
		if !p.running() {
			return true
		}
		response, err := http.Get(p.probe)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	if err == nil && !p.running() {
		return errors.Newf("%s exited before it was ready", p.name)
	}
	return err
}

// isMember reports whether the process is a gateway or a sidecar.
func (p *process) isMember() bool { return strings.Contains(p.probe, "/readyz") }

func (p *process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(s), "signal %s", p.name)
}

func (p *process) awaitExit() error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(exitTimeout):
		return errors.Newf("%s did not exit within %s", p.name, exitTimeout)
	}
}

func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// poll blocks until the condition holds. The error after the timeout starts with
// the description of the condition.
func poll(timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Newf("%s: condition not met within %s", description, timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func getJSON(url string, target any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("GET %s: status %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(target)
}

func sendJSON(method, url string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(content))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s %s: status %d", method, url, response.StatusCode)
	}
	return nil
}

func writeJSON(path string, value any) error {
	content, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o600)
}
