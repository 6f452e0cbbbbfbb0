package machine

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings describe one process and the machine under it. It is an immutable
// value.
type Settings struct {
	// Name identifies the process in logs.
	Name       string
	DataCentre string
	// CallerAddress accepts callers, ReadinessAddress answers whether new
	// callers are welcome, PeerAddress accepts other routers. They are empty for
	// a reporter.
	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	// Seeds are peer addresses of routers, some of which may be out of date.
	Seeds []string
	// ReporterAddress is where a reporter on this machine listens; ReporterPort
	// is its port, the same on all machines.
	ReporterAddress string
	ReporterPort    int
	// MetricsAddress serves the metrics.
	MetricsAddress string
	// UpstreamAddress is that of the upstream on this machine, empty for none.
	UpstreamAddress string
	// StoreAddress is that of the watched store.
	StoreAddress   string
	MaxDescriptors int
	// ShutdownNotice is the time between SIGTERM and SIGKILL.
	ShutdownNotice time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeated requests of all
	// routers together: in each window, a service gets at most the ratio of its
	// requests, and the slack, as repeats.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Validate returns an error that names the first setting that cannot be used.
func (s Settings) Validate() error {
	addresses := []struct {
		name, value string
		needed      bool
	}{
		{"caller address", s.CallerAddress, false},
		{"readiness address", s.ReadinessAddress, false},
		{"peer address", s.PeerAddress, false},
		{"upstream address", s.UpstreamAddress, false},
		{"store address", s.StoreAddress, true},
		{"reporter address", s.ReporterAddress, true},
		{"metrics address", s.MetricsAddress, true},
	}
	for _, a := range addresses {
		if a.value == "" && !a.needed {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Wrapf(err, "setting %s", a.name)
		}
	}
	if s.Name == "" {
		return errors.New("setting name is empty")
	}
	if s.ShutdownNotice <= 0 {
		return errors.New("setting shutdown notice is not positive")
	}
	return nil
}
