package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/hostsettings"
	"github.com/flamingohold/flamingohold/internal/process/logsink"
	"github.com/flamingohold/flamingohold/internal/process/memorylimit"
	"github.com/flamingohold/flamingohold/internal/process/reload"
	"github.com/flamingohold/flamingohold/internal/process/reporter"
	"github.com/flamingohold/flamingohold/internal/process/router"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/platform"
)

// newHostRunner constructs a process whose settings the platform provides.
type newHostRunner func(s hostsettings.Settings, log *eventlog.Log, t *telemetry.Telemetry) (hostRunner, error)

// hostRunner is a process that can apply changed settings while it runs.
type hostRunner interface {
	runner
	Reload(s hostsettings.Settings)
}

// hostCommand returns the subcommand that runs a process whose settings the
// platform provides.
func (p *program) hostCommand(name, description string, construct newHostRunner) command {
	examples := fmt.Sprintf(`
    flamingohold %[1]s
    flamingohold %[1]s --log-level debug
  The settings are read from the file that the platform provides to the process.
  SIGTERM starts a graceful shutdown: running requests complete, then the process exits with code 0.`, name)
	flags := newCommand(name, description, examples)
	level := zerolog.LevelInfoValue
	flags.String(&level, "", "log-level", "debug, info, warn or error: the lowest level that is logged")
	return command{flags, func() int { return p.runHostProcess(level, construct) }}
}

func (p *program) runHostProcess(levelName string, construct newHostRunner) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Without this, a SIGHUP that arrives before the reloader handles the signal
	// would end the process.
	signal.Ignore(syscall.SIGHUP)
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold: flag --log-level:", err)
		return exitUsage
	}
	s, err := p.loadHostSettings()
	if err != nil {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold:", err)
		return exitProcess
	}
	sink := logsink.New(p.stdout, eventlog.DroppedLine)
	defer sink.Close()
	memorylimit.Set(s.MemoryBytes, os.LookupEnv)
	log := eventlog.New(sink, level, s.Name)
	if err := p.serveHostProcess(ctx, s, log, construct); err != nil {
		log.Emit(eventlog.ProcessFailed).Err(err).Send()
		return exitProcess
	}
	return exitSuccess
}

func (p *program) loadHostSettings() (hostsettings.Settings, error) {
	return platform.LoadSettings(p.environment)
}

func (p *program) serveHostProcess(ctx context.Context, s hostsettings.Settings, log *eventlog.Log, construct newHostRunner) error {
	t, err := telemetry.New(ctx, &settings.Settings{Name: s.Name, DataCentre: s.DataCentre})
	if err != nil {
		return err
	}
	r, err := construct(s, log, t)
	if err != nil {
		return errors.CombineErrors(err, t.Shutdown(context.Background()))
	}
	reloadContext, stopReload := context.WithCancel(ctx)
	defer stopReload()
	go reload.New(s, p.loadHostSettings, r.Reload, log).Run(reloadContext)
	err = r.Run(ctx)
	return errors.CombineErrors(err, t.Shutdown(context.Background()))
}

func newRouter(s hostsettings.Settings, log *eventlog.Log, t *telemetry.Telemetry) (hostRunner, error) {
	return router.New(router.Platform{
		Settings: s,
		Headers:  platform.Headers(),
		Decoder:  platform.ItemDecoder{},
		Store:    func(f *upstreamclient.Fetcher) mirror.Store { return platform.NewStore(s.StoreAddress, f) },
		CopyClient: func(pool *upstreamclient.Pool, onLeaving func(address string)) relocation.CopyClient {
			return platform.NewEngineClient(pool).WithOnLeaving(onLeaving)
		},
	}, log, t)
}

func newReporter(s hostsettings.Settings, log *eventlog.Log, t *telemetry.Telemetry) (hostRunner, error) {
	upstream := func(pool *upstreamclient.Pool) reporter.Upstream { return platform.NewEngineClient(pool) }
	return reporter.New(s, upstream, log, t)
}
