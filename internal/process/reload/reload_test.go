package reload

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/hostsettings"
)

// Guards against a SIGHUP that ends the process, which it does by default, and
// against changed settings that are not applied after the signal.
func TestSignalReloadsSettings(t *testing.T) {
	var applied atomic.Pointer[hostsettings.Settings]
	changed := hostsettings.Settings{Name: "router-1", Seeds: []string{"10.0.0.1:1"}}
	r := New(hostsettings.Settings{Name: "router-1"}, func() (hostsettings.Settings, error) { return changed, nil },
		func(s hostsettings.Settings) { applied.Store(&s) }, eventlog.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	require.Eventually(t, func() bool { return applied.Load() != nil }, checkInterval/2, time.Millisecond)
	require.Equal(t, changed, *applied.Load())
	cancel()
	<-done
}

// Guards against settings that cannot be loaded but replace those in force.
func TestUnreadableSettingsAreNotApplied(t *testing.T) {
	r := New(hostsettings.Settings{}, func() (hostsettings.Settings, error) { return hostsettings.Settings{}, errors.New("truncated") },
		func(hostsettings.Settings) { t.Fatal("applied") }, eventlog.Discard())
	r.reload("signal")
	r.reload("change")
}
