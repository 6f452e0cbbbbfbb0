package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/memorylimit"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
)

const (
	environmentPrefix   = "FLAMINGOHOLD_"
	settingsEnvironment = environmentPrefix + "SETTINGS"
)

// runner is a process of the system. Run serves requests until the context ends
// and then shuts down gracefully.
type runner interface {
	Run(ctx context.Context) error
}

// newRunner validates the settings and constructs the process.
type newRunner func(s *settings.Settings, log *eventlog.Log, t *telemetry.Telemetry) (runner, error)

// processOptions holds the flags of a process.
type processOptions struct {
	file string
	// values maps the name of a setting to the value of its flag, empty if the
	// flag is not given.
	values map[string]*string
}

func (p *program) processCommand(name, description string, construct newRunner) command {
	examples := fmt.Sprintf(`
    flamingohold %[1]s --settings /etc/flamingohold/%[1]s.json
    FLAMINGOHOLD_LOG_LEVEL=debug flamingohold %[1]s --settings %[1]s.json --admin-address 127.0.0.1:9301
  A flag overrides the environment (FLAMINGOHOLD_LOG_LEVEL and so on), which overrides the file.
  SIGTERM starts a graceful shutdown: running requests complete, then the process exits with code 0.`, name)
	flags := newCommand(name, description, examples)
	o := &processOptions{values: make(map[string]*string)}
	flags.String(&o.file, "s", "settings", "settings file in JSON")
	for _, f := range settings.Fields() {
		value := new(string)
		o.values[f.Name] = value
		flags.String(value, "", strings.ReplaceAll(f.Name, "_", "-"), f.Help)
	}
	return command{flags, func() int { return p.runProcess(o, construct) }}
}

func (p *program) runProcess(o *processOptions, construct newRunner) int {
	// The signal handler is installed first, so that no signal that arrives
	// during the start is lost.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := p.loadSettings(o)
	if err != nil {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold:", err)
		return exitProcess
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold: setting log_level:", err)
		return exitProcess
	}
	log := eventlog.New(p.stderr, level, s.Name)
	memorylimit.Set(s.MemoryBytes(), os.LookupEnv)
	if err := serve(ctx, s, log, construct); err != nil {
		log.Emit(eventlog.ProcessFailed).Err(err).Send()
		return exitProcess
	}
	return exitSuccess
}

func serve(ctx context.Context, s *settings.Settings, log *eventlog.Log, construct newRunner) error {
	t, err := telemetry.New(ctx, s)
	if err != nil {
		return err
	}
	r, err := construct(s, log, t)
	if err != nil {
		return errors.CombineErrors(err, t.Shutdown(context.Background()))
	}
	err = r.Run(ctx)
	return errors.CombineErrors(err, t.Shutdown(context.Background()))
}

// loadSettings returns the settings of the file. The environment overrides the
// file, and flags override both.
func (p *program) loadSettings(o *processOptions) (*settings.Settings, error) {
	s, err := p.readSettings(o.file)
	if err != nil {
		return nil, err
	}
	s, err = s.Override(func(name string) (string, bool) {
		value, _ := p.environment(environmentPrefix + strings.ToUpper(name))
		return value, value != ""
	})
	if err != nil {
		return nil, errors.Wrap(err, "read environment")
	}
	s, err = s.Override(func(name string) (string, bool) { return *o.values[name], *o.values[name] != "" })
	return s, errors.Wrap(err, "read flags")
}

func (p *program) readSettings(file string) (*settings.Settings, error) {
	if file == "" {
		file, _ = p.environment(settingsEnvironment)
	}
	if file == "" {
		return settings.Read(strings.NewReader("{}"), "none")
	}
	return settings.Load(file)
}
