package reload

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/hostsettings"
)

// checkInterval is the time between two checks of settings that may have changed
// without a signal.
const checkInterval = 2 * time.Second

// Reloader loads the settings of a process repeatedly and applies changed ones.
type Reloader struct {
	current hostsettings.Settings
	load    func() (hostsettings.Settings, error)
	apply   func(hostsettings.Settings)
	log     *eventlog.Log
	// lastError is the text of the last error, empty after a successful load. An
	// error that repeats is logged only once.
	lastError string
	signals   chan os.Signal
}

// New returns a reloader for a process that runs with the current settings. It
// installs a handler for SIGHUP, which then no longer ends the process.
func New(current hostsettings.Settings, load func() (hostsettings.Settings, error), apply func(hostsettings.Settings), log *eventlog.Log) *Reloader {
	r := &Reloader{current: current, load: load, apply: apply, log: log, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	return r
}

// Run reloads the settings on SIGHUP and every checkInterval until the context
// ends.
func (r *Reloader) Run(ctx context.Context) {
	defer signal.Stop(r.signals)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.reload("signal")
		case <-ticker.C:
			r.reload("change")
		}
	}
}

func (r *Reloader) reload(trigger string) {
	s, err := r.load()
	if err != nil {
		if err.Error() != r.lastError {
			r.lastError = err.Error()
			r.log.Emit(eventlog.SettingsRefused).Str("trigger", trigger).Err(err).Send()
		}
		return
	}
	r.lastError = ""
	changed := !reflect.DeepEqual(s, r.current)
	if changed {
		r.current = s
		r.apply(s)
	}
	if changed || trigger == "signal" {
		r.log.Emit(eventlog.SettingsReloaded).Str("trigger", trigger).Bool("changed", changed).Strs("seeds", s.Seeds).Send()
	}
}
