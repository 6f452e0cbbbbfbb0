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
	defaultMaxBodyBytes      = 8 << 20
	defaultMaxConnections    = 20_000
	defaultIdleTimeoutMillis = 120_000
)

// Settings is the content of a process's settings file.
type Settings struct {
	// Name identifies the process in logs, traces and errors.
	Name       string `json:"name" help:"name of the process in logs, traces and errors"`
	DataCentre string `json:"data_centre" help:"data centre of the process"`
	Region     string `json:"region" help:"region of the process"`

	// CallerAddress is the address on which a gateway accepts connections of
	// callers.
	CallerAddress string `json:"caller_address,omitempty" help:"address at which a gateway accepts callers"`
	// PeerAddress is the address on which the process accepts connections of
	// gateways and sidecars. It must not be reachable by callers.
	PeerAddress string `json:"peer_address" help:"address at which the other processes connect"`
	// AdminAddress serves health, metrics and profiles to operators.
	AdminAddress string `json:"admin_address" help:"address of health, metrics, decisions and profiles"`
	// PeerSecretFile contains the bearer secret shared by gateways and sidecars.
	PeerSecretFile string `json:"peer_secret_file" help:"file with the secret shared by the processes"`

	// ConfigurationService and InstanceList are the addresses of these services
	// of the platform.
	ConfigurationService string `json:"configuration_service,omitempty" help:"address of the configuration service, for gateways"`
	InstanceList         string `json:"instance_list,omitempty" help:"address of the instance list"`
	// GatewayPeers lists the peer addresses of gateways. Processes fetch the
	// configuration from them. A gateway also derives from the list which instances
	// it uses and how the limits of client accounts are divided.
	GatewayPeers []string `json:"gateway_peers,omitempty" help:"peer addresses of gateways, separated by commas in a flag or variable"`

	// Service, Instance, Slot, SlotIncarnation and UpstreamAddress identify the
	// upstream that a sidecar serves.
	Service         string `json:"service,omitempty" help:"service of the instance, for sidecars"`
	Instance        string `json:"instance,omitempty" help:"name of the instance, for sidecars"`
	Slot            string `json:"slot,omitempty" help:"slot of the instance, for sidecars"`
	SlotIncarnation uint64 `json:"slot_incarnation,omitempty" help:"incarnation of the instance in the slot, for sidecars"`
	UpstreamAddress string `json:"upstream_address,omitempty" help:"address of the upstream, for sidecars"`

	// LogLevel is a zerolog level name, "info" if empty.
	LogLevel string `json:"log_level,omitempty" help:"debug, info, warn or error: the lowest level that is logged"`
	// TraceFile receives spans as JSON lines, none if empty.
	TraceFile string `json:"trace_file,omitempty" help:"file that receives spans as JSON lines"`
	// OTLPEndpoint receives spans by OTLP over HTTP ("ip:port"), none if empty.
	OTLPEndpoint string `json:"otlp_endpoint,omitempty" help:"address that receives spans by OTLP over HTTP"`

	// MaxBodyBytes limits the size of a request body in bytes, 0 for 8 MiB.
	MaxBodyBytes int `json:"max_body_bytes,omitempty" help:"maximum size of a request body in bytes, 0 for 8 MiB"`
	// MemoryMB is the memory that the process may use in MB, 0 if unknown. If it is
	// known, the runtime collects garbage more often near it, and the defaults of
	// MaxReceivedBytes and MaxUnsentBytes are a quarter and an eighth of it.
	MemoryMB int `json:"memory_mb,omitempty" help:"memory that the process may use in MB, 0 if unknown"`
	// MaxHeaderFields limits the fields of a request's header and trailer, 0 for 4,096.
	MaxHeaderFields int `json:"max_header_fields,omitempty" help:"maximum number of fields of a request header and trailer, 0 for 4,096"`
	// MaxHeaderLineBytes limits the request line and each field of a header, 0 for the
	// limit of the header.
	MaxHeaderLineBytes int `json:"max_header_line_bytes,omitempty" help:"maximum size of the request line and of each header field in bytes, 0 for that of the header"`
	// MaxEmptyLines limits the empty lines before a request, 0 for 4.
	MaxEmptyLines int `json:"max_empty_lines,omitempty" help:"maximum number of empty lines before a request, 0 for 4"`
	// MaxPipelinedRequests limits the requests of a connection without a complete
	// response, 0 for 32.
	MaxPipelinedRequests int `json:"max_pipelined_requests,omitempty" help:"maximum number of requests of a connection without a complete response, 0 for 32"`
	// MaxReceivedBytes limits the memory of all requests in progress of a listener, 0
	// for a quarter of MemoryMB, or for 256 MiB if that is unknown.
	MaxReceivedBytes int `json:"max_received_bytes,omitempty" help:"maximum memory in bytes of the requests in progress at an address, 0 for a quarter of memory_mb (at least one request of the largest size), or 256 MiB if that is 0"`
	// MaxUnsentBytes limits the unsent responses of all connections of a listener, 0
	// for an eighth of MemoryMB, or for 128 MiB if that is unknown.
	MaxUnsentBytes int `json:"max_unsent_bytes,omitempty" help:"unsent bytes of the responses at an address above which responses wait for their callers, 0 for an eighth of memory_mb, or 128 MiB if that is 0"`
	// MaxConnections limits the number of open connections, 0 for 20,000.
	MaxConnections int `json:"max_connections,omitempty" help:"maximum number of open connections, 0 for 20,000"`
	// IdleTimeoutMillis is the time in milliseconds after which a connection
	// without a request is closed, 0 for 120,000.
	IdleTimeoutMillis int `json:"idle_timeout_ms,omitempty" help:"time in milliseconds after which an idle connection is closed, 0 for 120,000"`
	// ShutdownNoticeMillis limits the duration of a graceful shutdown in
	// milliseconds, 0 for no limit.
	ShutdownNoticeMillis int `json:"shutdown_notice_ms,omitempty" help:"maximum duration of a graceful shutdown in milliseconds, 0 for no limit"`
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

// Read decodes settings and sets the defaults of missing fields. The path is used
// only in error messages.
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
		changed.IdleTimeoutMillis = defaultIdleTimeoutMillis
	}
	return &changed
}

// MemoryBytes returns the memory that the process may use in bytes, 0 if unknown.
func (s *Settings) MemoryBytes() int64 { return int64(s.MemoryMB) << 20 }

// PeerSecret reads the bearer secret shared by gateways and sidecars.
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
