package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/capacity/measure"
	"github.com/flamingohold/flamingohold/internal/capacity/slope"
	"github.com/flamingohold/flamingohold/internal/standin/deployment"
	"github.com/flamingohold/flamingohold/internal/standin/gatewayclient"
	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	engines = 4
	// slowdown gives the engines the step time of the two-year target, about 76 ms,
	// so that streams have the expected number of tokens per second.
	slowdown = "4"
	// settleTime is the wait before a measurement, and measureTime its duration.
	settleTime  = 5 * time.Second
	measureTime = 6 * time.Second
	// maxFailures is the number of streams that may fail in a measurement.
	maxFailures = 0
)

// Options holds the paths for a measurement.
type Options struct {
	// Programs is the folder of the built programs.
	Programs string
	// Example is the folder of the deployment whose files are copied and changed for
	// the measurement.
	Example string
	// Folder receives the settings and logs of the processes. It is deleted first.
	Folder string
}

// Run measures all series of real processes and passes each to done.
func Run(ctx context.Context, options Options, done func(measure.Series)) error {
	byStreams, err := measureStreams(ctx, options, []int{50, 100, 200, 300, 380})
	if err != nil {
		return errors.Wrap(err, "measure streams")
	}
	for _, s := range byStreams {
		done(s)
	}
	byAccounts, err := measureAccounts(ctx, options, []int{1000, 4000, 8000, 13_000})
	if err != nil {
		return errors.Wrap(err, "measure accounts")
	}
	for _, s := range byAccounts {
		done(s)
	}
	return nil
}

// collector collects the points of several series.
type collector struct {
	// names holds the names of the series in the order of their first points.
	names  []string
	series map[string]*measure.Series
}

func newCollector() *collector { return &collector{series: make(map[string]*measure.Series)} }

func (c *collector) add(name, unit, sizeUnit string, x, y float64) {
	s := c.series[name]
	if s == nil {
		s = &measure.Series{Name: name, Unit: unit, SizeUnit: sizeUnit}
		c.series[name] = s
		c.names = append(c.names, name)
	}
	s.Points = append(s.Points, slope.Point{X: x, Y: y})
}

func (c *collector) all() []measure.Series {
	var all []measure.Series
	for _, name := range c.names {
		s := *c.series[name]
		s.Line = slope.Fit(s.Points)
		all = append(all, s)
	}
	return all
}

// measureStreams measures the memory over the number of open streams and the
// processor time over the rate of tokens.
func measureStreams(ctx context.Context, options Options, sizes []int) (all []measure.Series, err error) {
	d, err := start(ctx, options, 10)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, d.Stop()) }()
	c := newCollector()
	for _, n := range sizes {
		if err := c.measureStreams(ctx, d, n); err != nil {
			return nil, err
		}
	}
	return c.all(), nil
}

// measureStreams adds the points for n open streams.
func (c *collector) measureStreams(ctx context.Context, d *deployment.Deployment, n int) error {
	spec := d.Spec()
	target := gatewayclient.Target{Gateway: d.Gateways()[0], Key: key(0)}
	s := openStreams(ctx, target, spec.Model, n)
	defer s.close()
	time.Sleep(settleTime)
	before, err := usageOfRoles(d)
	if err != nil {
		return err
	}
	tokens := s.tokens.Load()
	started := time.Now()
	time.Sleep(measureTime)
	after, err := usageOfRoles(d)
	if err != nil {
		return err
	}
	rate := float64(s.tokens.Load()-tokens) / time.Since(started).Seconds()
	if failed := s.failed.Load(); failed > maxFailures {
		return errors.Newf("%d streams failed while %d were kept open", failed, n)
	}
	for role := range after {
		utilisation := (after[role].processor - before[role].processor).Seconds() / time.Since(started).Seconds()
		c.add(role+"_stream_memory", "B", "stream", float64(n), after[role].memory)
		c.add(role+"_token_processor", "us in a second", "token in a second", rate, utilisation*1e6)
	}
	return nil
}

// measureAccounts measures the memory and the idle processor time over the number
// of client accounts in the configuration.
func measureAccounts(ctx context.Context, options Options, sizes []int) ([]measure.Series, error) {
	c := newCollector()
	for _, n := range sizes {
		if err := c.measureAccounts(ctx, options, n); err != nil {
			return nil, err
		}
	}
	return c.all(), nil
}

// measureAccounts adds the points for n client accounts.
func (c *collector) measureAccounts(ctx context.Context, options Options, n int) (err error) {
	d, err := start(ctx, options, n)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, d.Stop()) }()
	time.Sleep(settleTime)
	before, err := usageOfRoles(d)
	if err != nil {
		return err
	}
	time.Sleep(measureTime)
	after, err := usageOfRoles(d)
	if err != nil {
		return err
	}
	for role := range after {
		utilisation := (after[role].processor - before[role].processor).Seconds() / measureTime.Seconds()
		c.add(role+"_account_memory", "B", "account", float64(n), after[role].memory)
		c.add(role+"_idle_processor", "us in a second", "account", float64(n), utilisation*1e6)
	}
	return nil
}

// usageOfRoles returns the usage of the gateway and the sum of the usage of all
// sidecars.
func usageOfRoles(d *deployment.Deployment) (map[string]usage, error) {
	roles := make(map[string]usage)
	gateway, err := usageOf(d.Process("gateway-1").PID)
	if err != nil {
		return nil, err
	}
	roles["gateway"] = gateway
	sum := usage{}
	for _, i := range d.Instances() {
		u, err := usageOf(d.Process("sidecar-" + i.Slot).PID)
		if err != nil {
			return nil, err
		}
		sum.memory += u.memory
		sum.processor += u.processor
	}
	roles["sidecars"] = sum
	return roles, nil
}

// start starts a deployment of one gateway and four engines with the number of
// client accounts.
func start(ctx context.Context, options Options, accounts int) (*deployment.Deployment, error) {
	spec, err := deployment.LoadSpec(options.Example)
	if err != nil {
		return nil, err
	}
	spec.Gateways, spec.Engines, spec.PlainInstances = 1, engines, 0
	files := filepath.Join(options.Folder, "files")
	if err := writeFiles(options, files, spec, accounts); err != nil {
		return nil, err
	}
	return deployment.Start(ctx, spec.WithFolder(files), deployment.Options{
		Programs:        options.Programs,
		Folder:          filepath.Join(options.Folder, "run"),
		EngineArguments: []string{"--slowdown", slowdown, "--memory-tokens", "10000000"},
		StartWarm:       true,
		ShutdownNotice:  time.Second,
	})
}

// writeFiles copies the operators' files of the example. In the copy it disables
// the admission limits, sets the concurrency limit of the engine service to 256,
// and replaces the client accounts.
func writeFiles(options Options, files string, spec deployment.Spec, accounts int) error {
	if err := os.RemoveAll(options.Folder); err != nil {
		return errors.Wrap(err, "delete run folder")
	}
	if err := os.CopyFS(files, os.DirFS(options.Example)); err != nil {
		return errors.Wrap(err, "copy example deployment")
	}
	fleetErr := updateJSON(filepath.Join(files, "fleet.flamingohold.json"), func(f *fleet.Fleet) {
		f.Policy.SlowStart, f.Policy.MemoryBudget, f.Policy.StepLimit = false, false, false
		f.Policy.EarlyRefusal = false
	})
	path := filepath.Join(files, "services", spec.EngineService, "service.flamingohold.json")
	serviceErr := updateJSON(path, func(s *service.Service) { s.ConcurrencyLimit = 256 })
	accountErr := updateJSON(filepath.Join(files, "accounts.flamingohold.json"), func(list *[]account.Account) {
		*list = clientAccounts(accounts)
	})
	return errors.CombineErrors(fleetErr, errors.CombineErrors(serviceErr, accountErr))
}

// key returns the API key of client account i.
func key(i int) string { return fmt.Sprint("capacity-key-", i) }

func clientAccounts(n int) []account.Account {
	list := make([]account.Account, 0, n)
	for i := range n {
		list = append(list, account.Account{Name: fmt.Sprintf("account-%05d", i), KeySHA256: account.HashKey(key(i))})
	}
	return list
}

// updateJSON decodes a JSON file, applies a change and writes it again.
func updateJSON[T any](path string, apply func(*T)) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	var value T
	if err := json.Unmarshal(content, &value); err != nil {
		return errors.Wrapf(err, "decode %s", path)
	}
	apply(&value)
	content, err = json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	return errors.Wrap(os.WriteFile(path, content, 0o600), "write file")
}
