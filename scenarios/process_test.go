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
	// startTimeout and exitTimeout are far above what a loaded machine needs.
	startTimeout = 60 * time.Second
	exitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is one program of a cluster.
type process struct {
	name      string
	arguments []string
	directory string
	// probe is the URL that answers with status 200 once the process serves.
	probe   string
	command *exec.Cmd
	// exited is closed when the program has ended.
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

// awaitProbe blocks until the process answers its probe.
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
		return errors.Newf("%s exited at its start", p.name)
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

func poll(timeout time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Newf("%s: not within %s", what, timeout)
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
