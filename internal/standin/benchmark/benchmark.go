package benchmark

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/standin/deployment"
	"github.com/flamingohold/flamingohold/internal/standin/engine"
	"github.com/flamingohold/flamingohold/internal/standin/loadgen"
	"github.com/flamingohold/flamingohold/internal/version/account"
)

const (
	accountsFile    = "accounts.flamingohold.json"
	instanceListLag = 2 * time.Second
	// plainDelay is the response delay of the stand-in plain services.
	plainDelay     = 20 * time.Millisecond
	shutdownNotice = 3 * time.Second
	// slowStartFactor multiplies the duration of the first warm-up load, because
	// the sidecars keep the limits of a cold upstream until it has completed
	// enough work.
	slowStartFactor = 4
)

// Options configures a benchmark.
type Options struct {
	// Programs is the folder of the executables, Folder the parent of the run
	// folders.
	Programs, Folder string
	Specs            []deployment.Spec
	// Scenarios and Policies are names from ScenarioNames and PolicyNames.
	Scenarios []string
	Policies  []string
	// Duration is the time over which requests arrive in each scenario, and Drain
	// the longest wait for the last answers. WarmUp is the duration of a small
	// load before each scenario; with slow start, a load of four times that
	// duration also follows the start of the deployment.
	Duration, Drain, WarmUp time.Duration
	Seed                    uint64
	// MemoryTokens is the size of the block memory (KV cache) of each engine in
	// tokens. A value below the default of the engine profile keeps the token rate
	// within the capacity of a small machine.
	MemoryTokens int
	// Progress receives a line for each measurement.
	Progress io.Writer
}

// Measurement is the result of one scenario under one policy.
type Measurement struct {
	Deployment string
	Scenario   string
	Policy     string
	// Preemptions counts the preemptions in all engines.
	Preemptions int
	// LateSequences counts the sequences that the engines of a data centre
	// accepted later than 5 s after it went out of service (guarantee G3).
	LateSequences int
	// ReturnDelay is the time from the return of a data centre to service until
	// its engines accept a sequence. NeverReturned is true if they accepted none
	// before the end of the load.
	ReturnDelay   time.Duration
	NeverReturned bool
	// Cores is the mean number of processor cores used by all gateways and by all
	// sidecars, in this order.
	Cores  [2]float64
	Result *loadgen.Result
}

// Violations returns the number of faults that the guarantees of the system
// exclude.
func (m *Measurement) Violations() int { return m.LateSequences + m.Result.Violations() }

// Benchmark runs scenarios on deployments under policies.
type Benchmark struct {
	options Options
	// accounts holds the names of the client accounts by example folder.
	accounts map[string][]string
}

// New returns a benchmark. It returns an error for an unknown scenario or policy.
func New(options Options) (*Benchmark, error) {
	b := &Benchmark{options: options, accounts: make(map[string][]string)}
	for _, name := range options.Scenarios {
		if _, err := findScenario(name); err != nil {
			return nil, err
		}
	}
	for _, name := range options.Policies {
		if _, err := findPolicy(name); err != nil {
			return nil, err
		}
	}
	for _, spec := range options.Specs {
		names, err := readAccounts(spec.Folder())
		if err != nil {
			return nil, err
		}
		b.accounts[spec.Folder()] = names
	}
	return b, nil
}

// readAccounts returns the names of the client accounts of the example in the
// folder.
func readAccounts(folder string) ([]string, error) {
	content, err := os.ReadFile(filepath.Join(folder, accountsFile))
	if err != nil {
		return nil, errors.Wrap(err, "read accounts")
	}
	var accounts []account.Account
	if err := json.Unmarshal(content, &accounts); err != nil {
		return nil, errors.Wrapf(err, "decode accounts of %s", folder)
	}
	names := make([]string, len(accounts))
	for i, a := range accounts {
		names[i] = a.Name
	}
	return names, nil
}

// Run runs all scenarios on each deployment under each policy. On an error it
// also returns the measurements made so far.
func (b *Benchmark) Run(ctx context.Context) ([]Measurement, error) {
	var measurements []Measurement
	for _, spec := range b.options.Specs {
		for _, policy := range b.options.Policies {
			measured, err := b.runSession(ctx, spec, policy)
			measurements = append(measurements, measured...)
			if err != nil {
				return measurements, errors.Wrapf(err, "%s under %s", spec.Name, policy)
			}
		}
	}
	return measurements, nil
}

// runSession starts a deployment with the policy, runs the scenarios and stops the
// deployment.
func (b *Benchmark) runSession(ctx context.Context, spec deployment.Spec, policy string) (measurements []Measurement, err error) {
	s, err := b.startSession(ctx, spec, policy)
	if err != nil {
		return nil, err
	}
	defer func() {
		s.generator.Close()
		err = errors.CombineErrors(err, s.deployment.Stop())
	}()
	if s.policy.SlowStart {
		if err := <-s.warmUp(ctx, slowStartFactor*b.options.WarmUp); err != nil {
			return nil, errors.Wrap(err, "warm up")
		}
	}
	for _, name := range b.options.Scenarios {
		c, err := findScenario(name)
		if err != nil {
			return measurements, err
		}
		m, err := s.run(ctx, c)
		if err != nil {
			return measurements, errors.Wrap(err, name)
		}
		m.Deployment, m.Policy = spec.Name, policy
		measurements = append(measurements, *m)
		b.report(m)
	}
	return measurements, nil
}

// startSession starts a deployment with the policy and with warm engines.
func (b *Benchmark) startSession(ctx context.Context, spec deployment.Spec, policy string) (*session, error) {
	p, err := findPolicy(policy)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(b.options.Folder, spec.Name+"-"+policy)
	if err := os.RemoveAll(folder); err != nil {
		return nil, errors.Wrap(err, "clear run directory")
	}
	s := &session{
		benchmark: b, exampleFolder: spec.Folder(), policy: p, operatorFiles: operatorFilesFolder(folder), profile: engine.DefaultProfile(),
	}
	s.profile.MemoryTokens = b.options.MemoryTokens
	if err := writeFiles(s.exampleFolder, s.operatorFiles, p, nil); err != nil {
		return nil, err
	}
	s.deployment, err = deployment.Start(ctx, spec.WithFolder(s.operatorFiles), deployment.Options{
		Programs:        b.options.Programs,
		Folder:          folder,
		EngineArguments: []string{"--memory-tokens", strconv.Itoa(b.options.MemoryTokens)},
		StartWarm:       true,
		PlainDelay:      plainDelay,
		InstanceListLag: instanceListLag,
		ShutdownNotice:  shutdownNotice,
	})
	if err != nil {
		return nil, err
	}
	s.generator = loadgen.New(s.deployment)
	return s, nil
}

// report writes a line about the measurement to the progress writer.
func (b *Benchmark) report(m *Measurement) {
	r := m.Result
	_, _ = fmt.Fprintf(b.options.Progress,
		"%-13s %-18s %-17s sent %5d completed %5d refused %4d incomplete %3d broken %3d unfinished %3d violations %d gap p99 %.0f ms\n",
		m.Deployment, m.Scenario, m.Policy, r.Sent, r.Completed, r.RefusedTotal(), r.Incomplete, r.Broken, r.Unfinished,
		m.Violations(), float64(r.Gap.ValueAtQuantile(99))/1000)
}
