package hostsettings

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings describes one process and its instance. It is an immutable value.
type Settings struct {
	// Name identifies the process in logs.
	Name       string
	DataCentre string
	// CallerAddress accepts callers, ReadinessAddress serves the readiness check,
	// and PeerAddress accepts other routers. They are empty for a reporter.
	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	// Seeds holds peer addresses of routers, some of which may be out of date.
	Seeds []string
	// ReporterAddress is the address at which a reporter on this instance listens.
	// ReporterPort is the port of the reporters on all instances.
	ReporterAddress string
	ReporterPort    int
	// MetricsAddress is the address at which the process serves its metrics.
	MetricsAddress string
	// UpstreamAddress is the address of the upstream on this instance, empty for
	// none.
	UpstreamAddress string
	// StoreAddress is the address of the platform's metadata store.
	StoreAddress string
	// LinkMbps is the bandwidth of the instance's network link in megabits a second,
	// 0 if unknown.
	LinkMbps float64
	// MemoryBytes is the memory of the instance in bytes, 0 if unknown.
	MemoryBytes int64
	// MaxDescriptors is the limit of open file descriptors of the process.
	MaxDescriptors int
	// ShutdownNotice is the time between SIGTERM and SIGKILL.
	ShutdownNotice time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all routers
	// together. In each window, the number of retries to a service is at most
	// RetryRatio times its requests, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Validate returns an error that names the first invalid setting.
func (s Settings) Validate() error {
	addresses := []struct {
		name, value string
		required    bool
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
		if a.value == "" && !a.required {
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
