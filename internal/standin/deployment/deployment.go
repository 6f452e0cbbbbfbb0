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
	processesName = "processes.json"
	// readyTimeout bounds the start of all processes together.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	probeTimeout = time.Second
	// killMargin is the time beyond the shutdown notice after which a process
	// is killed.
	killMargin = 5 * time.Second
)

// Options configure the start of a deployment.
type Options struct {
	// Programs is the folder with the programs flamingohold and standin.
	Programs string
	// Folder is the run folder. It must be empty or absent.
	Folder string
	// EngineArguments are further arguments of the stand-in engines.
	EngineArguments []string
	// StartWarm starts the engines warm. Restarted engines are cold.
	StartWarm       bool
	PlainDelay      time.Duration
	InstanceListLag time.Duration
	ShutdownNotice  time.Duration
	// Trace makes each process write its spans to a file.
	Trace bool
}

// Deployment is a set of processes on loopback. It is not safe for concurrent
// use, except Gateways, Platform, Instances and Spec.
type Deployment struct {
	options Options
	plan    *plan
	version uint64
}

// Start starts all processes of the deployment and publishes its
// configuration. On an error it stops what it started.
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

// Open returns the deployment whose processes were started in the run folder.
func Open(options Options) (*Deployment, error) {
	d := &Deployment{options: options, plan: new(plan)}
	if err := readJSON(filepath.Join(options.Folder, processesName), d.plan); err != nil {
		return nil, err
	}
	return d, nil
}

// prepare creates the run folder and the files in it.
func (d *Deployment) prepare() error {
	programs, err := filepath.Abs(d.options.Programs)
	if err != nil {
		return errors.Wrap(err, "find programs")
	}
	folder, err := filepath.Abs(d.options.Folder)
	if err != nil {
		return errors.Wrap(err, "find run folder")
	}
	d.options.Programs, d.options.Folder = programs, folder
	if _, err := os.Stat(filepath.Join(folder, processesName)); err == nil {
		return errors.Newf("run folder %s is in use; stop its deployment first", folder)
	}
	for _, name := range []string{traceFolder, logFolder, settingsFolder} {
		if err := os.MkdirAll(filepath.Join(folder, name), 0o700); err != nil {
			return errors.Wrap(err, "create run folder")
		}
	}
	secret := []byte(uuid.NewString() + "\n")
	if err := os.WriteFile(filepath.Join(folder, secretName), secret, 0o600); err != nil {
		return errors.Wrap(err, "write peer secret")
	}
	p := &planner{spec: d.plan.Spec, options: d.options, ports: newPortAllocator(), plan: d.plan}
	return p.build()
}

// startAll starts the stand-ins, publishes, and starts the system.
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
	return writeJSON(filepath.Join(d.options.Folder, processesName), d.plan)
}

// awaitReady waits until the process accepts work or has ended.
func (d *Deployment) awaitReady(ctx context.Context, p *Process) error {
	for !p.ready(ctx) {
		if !p.Running() {
			return errors.Newf("%s ended at its start; its log ends with:\n%s", p.Name, d.logTail(p))
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%s is not ready; its log ends with:\n%s", p.Name, d.logTail(p))
		case <-time.After(pollInterval):
		}
	}
	return nil
}

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

func (d *Deployment) logTail(p *Process) string {
	content, err := os.ReadFile(filepath.Join(d.options.Folder, logFolder, p.Name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

// PublishFolder collects the operators' files in the folder as the next version
// and publishes them.
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

// Stop stops gateways, sidecars and stand-ins in this order and waits for
// them. It returns an error that names the processes that had to be killed or
// failed.
func (d *Deployment) Stop() error {
	var failure error
	for role := range roleCount {
		failure = errors.CombineErrors(failure, d.stopRole(role))
	}
	if err := os.Remove(filepath.Join(d.options.Folder, processesName)); err != nil && !os.IsNotExist(err) {
		failure = errors.CombineErrors(failure, errors.Wrap(err, "remove list of processes"))
	}
	return failure
}

func (d *Deployment) stopRole(role int) error {
	for _, p := range d.plan.Processes {
		if p.Role == role {
			_ = p.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.Now().Add(d.options.ShutdownNotice + killMargin)
	var failure error
	for _, p := range d.plan.Processes {
		if p.Role == role {
			failure = errors.CombineErrors(failure, p.finish(deadline))
		}
	}
	return failure
}

// Gateways returns the addresses for callers.
func (d *Deployment) Gateways() []string { return d.plan.Gateways }

// Platform returns the address of the configuration service and the instance
// list.
func (d *Deployment) Platform() string { return d.plan.Platform }

// Instances returns the upstream instances as they were at the start.
func (d *Deployment) Instances() []instance.Instance { return d.plan.Instances }

// Spec returns what the deployment is made of.
func (d *Deployment) Spec() Spec { return d.plan.Spec }

// Process returns the process with the name, nil if there is none.
func (d *Deployment) Process(name string) *Process {
	for _, p := range d.plan.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Restart ends the process at once and starts it again with an empty state and
// cold. It returns when the process serves.
func (d *Deployment) Restart(ctx context.Context, name string) error {
	p := d.Process(name)
	if p == nil {
		return errors.Newf("no process %s", name)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if !p.await(time.Now().Add(killMargin)) {
		return errors.Newf("%s does not end", name)
	}
	p.Arguments = slices.DeleteFunc(p.Arguments, func(a string) bool { return a == warmArgument })
	if err := p.start(filepath.Join(d.options.Folder, logFolder)); err != nil {
		return err
	}
	return errors.CombineErrors(d.awaitReady(ctx, p), d.save())
}

// Processes returns the number of processes.
func (d *Deployment) Processes() int { return len(d.plan.Processes) }

// Running returns the number of processes that still run.
func (d *Deployment) Running() int {
	n := 0
	for _, p := range d.plan.Processes {
		if p.Running() {
			n++
		}
	}
	return n
}

// ProcessorTime returns the processor time of all running processes of the role.
func (d *Deployment) ProcessorTime(role int) time.Duration {
	total := time.Duration(0)
	for _, p := range d.plan.Processes {
		if p.Role == role {
			total += p.processorTime()
		}
	}
	return total
}
