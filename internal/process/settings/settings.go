package settings

import (
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Defaults of the limits that protect a process from its callers.
const (
	defaultMaxBodyBytes     = 8 << 20
	defaultMaxConnections   = 20_000
	defaultIdleTimeoutMilli = 120_000
)

// Settings is the content of a process's settings file.
type Settings struct {
	// Name identifies the process in logs, traces and errors.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`

	// CallerAddress is where a gateway accepts callers.
	CallerAddress string `json:"caller_address,omitempty"`
	// PeerAddress is where the system's own processes connect. Callers must not
	// be able to reach it.
	PeerAddress string `json:"peer_address"`
	// AdminAddress serves health, metrics and profiles to operators.
	AdminAddress string `json:"admin_address"`
	// PeerSecretFile holds the bearer secret shared by the system's processes.
	PeerSecretFile string `json:"peer_secret_file"`

	// ConfigurationService and InstanceList are the platform's addresses.
	ConfigurationService string `json:"configuration_service,omitempty"`
	InstanceList         string `json:"instance_list,omitempty"`
	// GatewayPeers lists the peer addresses of gateways that a new process asks
	// for the configuration.
	GatewayPeers []string `json:"gateway_peers,omitempty"`

	// Service, Instance, Slot, SlotIncarnation and UpstreamAddress tell a
	// sidecar which upstream it stands beside.
	Service         string `json:"service,omitempty"`
	Instance        string `json:"instance,omitempty"`
	Slot            string `json:"slot,omitempty"`
	SlotIncarnation uint64 `json:"slot_incarnation,omitempty"`
	UpstreamAddress string `json:"upstream_address,omitempty"`

	// LogLevel is a zerolog level name, "info" if empty.
	LogLevel string `json:"log_level,omitempty"`
	// TraceFile receives spans as JSON lines, none if empty.
	TraceFile string `json:"trace_file,omitempty"`
	// OTLPEndpoint receives spans by OTLP over HTTP ("ip:port"), none if empty.
	OTLPEndpoint string `json:"otlp_endpoint,omitempty"`

	// MaxBodyBytes bounds a request body, 0 for 8 MiB.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// MaxConnections bounds the open connections, 0 for 20,000.
	MaxConnections int `json:"max_connections,omitempty"`
	// IdleTimeoutMillis closes a connection without a request, 0 for 120,000.
	IdleTimeoutMillis int `json:"idle_timeout_ms,omitempty"`
	// ShutdownNoticeMillis bounds a graceful shutdown, 0 for no bound.
	ShutdownNoticeMillis int `json:"shutdown_notice_ms,omitempty"`
}

// Load reads a settings file. Unknown fields are errors.
func Load(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open settings")
	}
	defer func() { _ = file.Close() }()
	return Read(file, path)
}

// Read decodes settings and fills in the defaults. The path only names the
// source in errors.
func Read(r io.Reader, path string) (*Settings, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	s := new(Settings)
	if err := decoder.Decode(s); err != nil {
		return nil, errors.Wrapf(err, "read settings %s", path)
	}
	return s.withDefaults(), nil
}

func (s *Settings) withDefaults() *Settings {
	changed := *s
	if changed.LogLevel == "" {
		changed.LogLevel = "info"
	}
	if changed.MaxBodyBytes == 0 {
		changed.MaxBodyBytes = defaultMaxBodyBytes
	}
	if changed.MaxConnections == 0 {
		changed.MaxConnections = defaultMaxConnections
	}
	if changed.IdleTimeoutMillis == 0 {
		changed.IdleTimeoutMillis = defaultIdleTimeoutMilli
	}
	return &changed
}

// PeerSecret reads the bearer secret of the system's processes.
func (s *Settings) PeerSecret() (string, error) {
	content, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return "", errors.Wrap(err, "read peer secret")
	}
	secret := strings.TrimSpace(string(content))
	if secret == "" {
		return "", errors.Newf("peer secret file %s is empty", s.PeerSecretFile)
	}
	return secret, nil
}
