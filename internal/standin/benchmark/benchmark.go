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
	accountsName   = "accounts.flamingohold.json"
	instanceLag    = 2 * time.Second
	plainDelay     = 20 * time.Millisecond
	shutdownNotice = 3 * time.Second
	// slowStartFactor lengthens the first preheating, in which the sidecars hold
	// the limits of a cold upstream until enough work was completed.
	slowStartFactor = 4
)

// Options configure a benchmark.
type Options struct {
	// Programs is the folder of the programs, Folder that of runs.
	Programs, Folder string
	Specs            []deployment.Spec
	Scenarios        []string
	Policies         []string
	// Duration is that of each scenario's arrivals, Drain the longest wait for
	// the last answers, and Preheat the time of a small load before each scenario
	// and, with slow start, four times that after the start.
	Duration, Drain, Preheat time.Duration
	Seed                     uint64
	// MemoryTokens is the engines' block memory. Less than the profile's keeps
	// the token rate within what a small machine can carry.
	MemoryTokens int
	// Progress receives a line for each measurement.
	Progress io.Writer
}

// Measurement is the result of one scenario under one policy.
type Measurement struct {
	Deployment  string
	Scenario    string
	Policy      string
	Preemptions int
	// LateWork counts the sequences that a data centre began later than 5 s after
	// it went out of service (G3).
	LateWork int
	// ReturnDelay is the time from a data centre's return to its first work.
	// NeverReturned is true if it began none until the end of the load.
	ReturnDelay   time.Duration
	NeverReturned bool
	// Cores is the mean number of processors that all gateways and all sidecars
	// used, in this order.
	Cores  [2]float64
	Result *loadgen.Result
}

// Violations returns the number of observations that the guarantees rule out.
func (m *Measurement) Violations() int { return m.LateWork + m.Result.Violations() }

// Benchmark runs scenarios.
type Benchmark struct {
	options Options
	// accounts holds the account names by the folder of the example.
	accounts map[string][]string
}

// New returns a benchmark. It returns an error for unknown scenarios and
// policies.
func New(options Options) (*Benchmark, error) {
	b := &Benchmark{options: options, accounts: make(map[string][]string)}
	for _, name := range options.Scenarios {
		if _, err := scenarioOf(name); err != nil {
			return nil, err
		}
	}
	for _, name := range options.Policies {
		if _, err := policyOf(name); err != nil {
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

func readAccounts(folder string) ([]string, error) {
	content, err := os.ReadFile(filepath.Join(folder, accountsName))
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

// Run runs all scenarios. On an error it returns what it has measured.
func (b *Benchmark) Run(ctx context.Context) ([]Measurement, error) {
	var all []Measurement
	for _, spec := range b.options.Specs {
		for _, policy := range b.options.Policies {
			measured, err := b.runSession(ctx, spec, policy)
			all = append(all, measured...)
			if err != nil {
				return all, errors.Wrapf(err, "%s under %s", spec.Name, policy)
			}
		}
	}
	return all, nil
}

// runSession starts a deployment, runs the scenarios under one policy and stops
// the deployment.
func (b *Benchmark) runSession(ctx context.Context, spec deployment.Spec, policy string) (all []Measurement, err error) {
	s, err := b.open(ctx, spec, policy)
	if err != nil {
		return nil, err
	}
	defer func() {
		s.generator.Close()
		err = errors.CombineErrors(err, s.deployment.Stop())
	}()
	if s.policy.SlowStart {
		if err := <-s.preheat(ctx, slowStartFactor*b.options.Preheat); err != nil {
			return nil, errors.Wrap(err, "preheat")
		}
	}
	for _, name := range b.options.Scenarios {
		c, err := scenarioOf(name)
		if err != nil {
			return all, err
		}
		m, err := s.run(ctx, c)
		if err != nil {
			return all, errors.Wrap(err, name)
		}
		m.Deployment, m.Policy = spec.Name, policy
		all = append(all, *m)
		b.report(m)
	}
	return all, nil
}

// open starts a deployment of the real size with the policy in force.
func (b *Benchmark) open(ctx context.Context, spec deployment.Spec, policy string) (*session, error) {
	p, err := policyOf(policy)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(b.options.Folder, spec.Name+"-"+policy)
	if err := os.RemoveAll(folder); err != nil {
		return nil, errors.Wrap(err, "clear run folder")
	}
	s := &session{
		benchmark: b, example: spec.Folder(), policy: p, files: filesFolder(folder), profile: engine.DefaultProfile(),
	}
	s.profile.MemoryTokens = b.options.MemoryTokens
	if err := writeFiles(s.example, s.files, p, nil); err != nil {
		return nil, err
	}
	s.deployment, err = deployment.Start(ctx, spec.WithFolder(s.files), deployment.Options{
		Programs:        b.options.Programs,
		Folder:          folder,
		EngineArguments: []string{"--memory-tokens", strconv.Itoa(b.options.MemoryTokens)},
		StartWarm:       true,
		PlainDelay:      plainDelay,
		InstanceListLag: instanceLag,
		ShutdownNotice:  shutdownNotice,
	})
	if err != nil {
		return nil, err
	}
	s.generator = loadgen.New(s.deployment)
	return s, nil
}

func (b *Benchmark) report(m *Measurement) {
	r := m.Result
	_, _ = fmt.Fprintf(b.options.Progress,
		"%-13s %-18s %-17s sent %5d completed %5d refused %4d incomplete %3d broken %3d unfinished %3d violations %d gap p99 %.0f ms\n",
		m.Deployment, m.Scenario, m.Policy, r.Sent, r.Completed, r.RefusedTotal(), r.Incomplete, r.Broken, r.Unfinished,
		m.Violations(), float64(r.Gap.ValueAtQuantile(99))/1000)
}
