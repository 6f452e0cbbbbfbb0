package deployment

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

const (
	processesFile = "processes.json"
	// readyTimeout is the time within which all processes must be ready.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	probeTimeout = time.Second
	// exitTimeout is the time after the end of the shutdown notice until a
	// process is killed, and the longest wait for a killed process to exit.
	exitTimeout = 5 * time.Second
)

// Options configures a deployment.
type Options struct {
	// Programs is the folder of the executables flamingohold and standin.
	Programs string
	// Folder is the run folder for settings, logs, traces and the list of
	// processes. It must be empty or absent; Start returns an error if it
	// contains a list of processes.
	Folder string
	// EngineArguments are additional command-line arguments of the stand-in
	// engines.
	EngineArguments []string
	// StartWarm starts the engines warm. Restarted engines are cold.
	StartWarm bool
	// PlainDelay is the response delay of the stand-in plain services.
	PlainDelay time.Duration
	// InstanceListLag is the delay with which the instance list shows changes.
	InstanceListLag time.Duration
	// ShutdownNotice is the time that gateways and sidecars have for a graceful
	// shutdown after SIGTERM.
	ShutdownNotice time.Duration
	// Trace makes each gateway and sidecar write its spans to a file.
	Trace bool
}

// Deployment is a set of processes on loopback addresses. Only Gateways,
// Platform, Instances and Spec are safe for concurrent use.
type Deployment struct {
	options Options
	plan    *plan
	version uint64
}

// Start starts all processes of the deployment and publishes its
// configuration. On an error it stops the processes that it has started.
func Start(ctx context.Context, spec Spec, options Options) (*Deployment, error) {
	d := &Deployment{options: options, plan: &plan{Spec: spec}}
	if err := d.prepare(); err != nil {
		return nil, err
	}
	if err := d.startAll(ctx); err != nil {
		return nil, errors.CombineErrors(err, d.Stop())
	}
	return d, nil
}

// Open returns the deployment that was started earlier in the run folder.
func Open(options Options) (*Deployment, error) {
	d := &Deployment{options: options, plan: new(plan)}
	if err := readJSON(filepath.Join(options.Folder, processesFile), d.plan); err != nil {
		return nil, err
	}
	return d, nil
}

// prepare creates the run folder, writes the peer secret and the settings files,
// and plans the processes.
func (d *Deployment) prepare() error {
	programs, err := filepath.Abs(d.options.Programs)
	if err != nil {
		return errors.Wrap(err, "resolve program directory")
	}
	folder, err := filepath.Abs(d.options.Folder)
	if err != nil {
		return errors.Wrap(err, "resolve run directory")
	}
	d.options.Programs, d.options.Folder = programs, folder
	if _, err := os.Stat(filepath.Join(folder, processesFile)); err == nil {
		return errors.Newf("run directory %s belongs to a deployment that was not stopped; stop it first", folder)
	}
	for _, name := range []string{traceFolder, logFolder, settingsFolder} {
		if err := os.MkdirAll(filepath.Join(folder, name), 0o700); err != nil {
			return errors.Wrap(err, "create run directory")
		}
	}
	secret := []byte(uuid.NewString() + "\n")
	if err := os.WriteFile(filepath.Join(folder, secretFile), secret, 0o600); err != nil {
		return errors.Wrap(err, "write peer secret")
	}
	p := &planner{spec: d.plan.Spec, options: d.options, ports: newPortAllocator(), plan: d.plan}
	return p.build()
}

// startAll starts the stand-ins, publishes the configuration, and then starts
// gateways and sidecars.
func (d *Deployment) startAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.startRole(ctx, roleStandIn); err != nil {
		return err
	}
	if err := d.PublishFolder(ctx, d.plan.Spec.folder); err != nil {
		return err
	}
	if err := d.startRole(ctx, RoleGateway); err != nil {
		return err
	}
	return d.startRole(ctx, RoleSidecar)
}

// startRole starts all processes of the role and waits until they are ready.
func (d *Deployment) startRole(ctx context.Context, role int) error {
	for _, p := range d.plan.Processes {
		if p.Role != role {
			continue
		}
		if err := p.start(filepath.Join(d.options.Folder, logFolder)); err != nil {
			return err
		}
	}
	if err := d.save(); err != nil {
		return err
	}
	for _, p := range d.plan.Processes {
		if p.Role != role {
			continue
		}
		if err := d.awaitReady(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) save() error {
	return writeJSON(filepath.Join(d.options.Folder, processesFile), d.plan)
}

// awaitReady waits until the process is ready. It returns an error if the process
// exits or the context ends first.
func (d *Deployment) awaitReady(ctx context.Context, p *Process) error {
	for !p.ready(ctx) {
		if !p.Running() {
			return errors.Newf("%s exited before it was ready; its log ends with:\n%s", p.Name, d.logTail(p))
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%s was not ready in time; its log ends with:\n%s", p.Name, d.logTail(p))
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// ready probes /readyz, or connects to the address of a process without an admin
// address.
func (p *Process) ready(ctx context.Context) bool {
	if p.AdminAddress == "" {
		connection, err := net.DialTimeout("tcp", p.Address, probeTimeout)
		if err != nil {
			return false
		}
		_ = connection.Close()
		return true
	}
	status, err := getStatus(ctx, "http://"+p.AdminAddress+"/readyz")
	return err == nil && status == http.StatusOK
}

func getStatus(ctx context.Context, url string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

const logTailLines = 5

// logTail returns the last lines of the log of the process.
func (d *Deployment) logTail(p *Process) string {
	content, err := os.ReadFile(filepath.Join(d.options.Folder, logFolder, p.Name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

// PublishFolder builds a bundle with a higher version from the operators' files
// in the folder and publishes it in the configuration service.
func (d *Deployment) PublishFolder(ctx context.Context, folder string) error {
	d.version = max(d.version+1, uint64(time.Now().Unix()))
	version := strconv.FormatUint(d.version, 10)
	bundle := filepath.Join(d.options.Folder, bundleFolder, version)
	collect := exec.CommandContext(ctx, filepath.Join(d.options.Programs, "flamingohold"),
		"collect", "--root", folder, "--out", bundle, "--version", version)
	if output, err := collect.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "collect %s: %s", folder, output)
	}
	return Publish(ctx, d.plan.Platform, bundle)
}

// Stop stops gateways, sidecars and stand-ins in this order and waits until they
// have exited. The error names the processes that had to be killed or that exited
// with an error.
func (d *Deployment) Stop() error {
	var errs error
	for role := range roleCount {
		errs = errors.CombineErrors(errs, d.stopRole(role))
	}
	if err := os.Remove(filepath.Join(d.options.Folder, processesFile)); err != nil && !os.IsNotExist(err) {
		errs = errors.CombineErrors(errs, errors.Wrap(err, "remove list of processes"))
	}
	return errs
}

func (d *Deployment) stopRole(role int) error {
	for _, p := range d.plan.Processes {
		if p.Role == role {
			_ = p.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.Now().Add(d.options.ShutdownNotice + exitTimeout)
	var errs error
	for _, p := range d.plan.Processes {
		if p.Role == role {
			errs = errors.CombineErrors(errs, p.stop(deadline))
		}
	}
	return errs
}

// Gateways returns the addresses on which the gateways accept callers.
func (d *Deployment) Gateways() []string { return d.plan.Gateways }

// Platform returns the address of the stand-in for the configuration service, the
// instance list and the weight store.
func (d *Deployment) Platform() string { return d.plan.Platform }

// Instances returns the upstream instances as planned at the start. Restarts do
// not change them.
func (d *Deployment) Instances() []instance.Instance { return d.plan.Instances }

// Spec returns the specification of the deployment.
func (d *Deployment) Spec() Spec { return d.plan.Spec }

// Process returns the process with the name, or nil if there is none.
func (d *Deployment) Process(name string) *Process {
	for _, p := range d.plan.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Restart kills the process and starts it again without its state; an engine
// starts cold. It returns when the process is ready.
func (d *Deployment) Restart(ctx context.Context, name string) error {
	p := d.Process(name)
	if p == nil {
		return errors.Newf("deployment has no process %s", name)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if !p.awaitExit(time.Now().Add(exitTimeout)) {
		return errors.Newf("%s did not exit after SIGKILL", name)
	}
	p.Arguments = slices.DeleteFunc(p.Arguments, func(a string) bool { return a == warmFlag })
	if err := p.start(filepath.Join(d.options.Folder, logFolder)); err != nil {
		return err
	}
	return errors.CombineErrors(d.awaitReady(ctx, p), d.save())
}

// ProcessCount returns the number of processes.
func (d *Deployment) ProcessCount() int { return len(d.plan.Processes) }

// RunningCount returns the number of processes that are still running.
func (d *Deployment) RunningCount() int {
	n := 0
	for _, p := range d.plan.Processes {
		if p.Running() {
			n++
		}
	}
	return n
}

// ProcessorTime returns the sum of the processor time of all running processes of
// the role.
func (d *Deployment) ProcessorTime(role int) time.Duration {
	total := time.Duration(0)
	for _, p := range d.plan.Processes {
		if p.Role == role {
			total += p.processorTime()
		}
	}
	return total
}
