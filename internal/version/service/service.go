package service

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Kinds of services.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// DefaultKeyLifetime is how long an idempotency key is honoured unless the
// service's file says otherwise.
const DefaultKeyLifetime = 900 * time.Second

const (
	defaultQueueCapacity    = 64
	defaultAdmissionTimeout = 10 * time.Second
	defaultConcurrency      = 64
)

// Service is the content of a file service.flamingohold.json.
type Service struct {
	// Name is unique in the bundle.
	Name string `json:"name"`
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// Hosts and PathPrefixes select the requests that are for this service.
	Hosts        []string `json:"hosts,omitempty"`
	PathPrefixes []string `json:"path_prefixes,omitempty"`
	// Models lists the models of an engine service.
	Models []Model `json:"models,omitempty"`
	// Slots names the places of the service's instances, to which opaque
	// idempotency keys are mapped.
	Slots []string `json:"slots,omitempty"`
	// DataCentres names the data centres in which the instances run, none for
	// any. Only the check command uses it.
	DataCentres []string `json:"data_centres,omitempty"`
	// ChecksFencing states that the upstream refuses an order with an old
	// fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Orders states which requests may run at most once.
	Orders Orders `json:"orders"`
	// Queue bounds the waiting work at each sidecar.
	Queue Queue `json:"queue"`
	// ConcurrencyLimit bounds the running work at each sidecar, 0 for 64.
	ConcurrencyLimit int `json:"concurrency_limit,omitempty"`
}

// Model is a model that an engine service offers.
type Model struct {
	Name string `json:"name"`
	// ContextTokens bounds prompt and output together.
	ContextTokens int `json:"context_tokens"`
}

// Orders states which requests of a plain service may run at most once.
type Orders struct {
	// Methods lists the HTTP methods that are not repeatable.
	Methods []string `json:"methods,omitempty"`
	// KeyLifetimeSeconds is how long an idempotency key is honoured, 0 for 900.
	KeyLifetimeSeconds int `json:"key_lifetime_s,omitempty"`
	// UpstreamDeduplicates states that the upstream itself runs a request with
	// a repeated Idempotency-Key at most once, on any of its instances.
	UpstreamDeduplicates bool `json:"upstream_deduplicates,omitempty"`
	// ClockSkewBoundSeconds is the operators' bound on the error of callers'
	// clocks, which lets version 7 UUID keys pass a new sidecar. 0 forbids it.
	ClockSkewBoundSeconds int `json:"clock_skew_bound_s,omitempty"`
}

// Queue bounds the waiting work at each sidecar of a service.
type Queue struct {
	// Capacity is the number of attempts that may wait, 0 for 64.
	Capacity int `json:"capacity,omitempty"`
	// TimeoutMillis is the longest wait, 0 for 10,000.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
}

// KeyLifetime returns how long an idempotency key is honoured.
func (s *Service) KeyLifetime() time.Duration {
	if s.Orders.KeyLifetimeSeconds <= 0 {
		return DefaultKeyLifetime
	}
	return time.Duration(s.Orders.KeyLifetimeSeconds) * time.Second
}

// QueueCapacity returns how many attempts may wait at one sidecar.
func (s *Service) QueueCapacity() int {
	if s.Queue.Capacity <= 0 {
		return defaultQueueCapacity
	}
	return s.Queue.Capacity
}

// AdmissionTimeout returns the longest wait for admission.
func (s *Service) AdmissionTimeout() time.Duration {
	if s.Queue.TimeoutMillis <= 0 {
		return defaultAdmissionTimeout
	}
	return time.Duration(s.Queue.TimeoutMillis) * time.Millisecond
}

// Concurrency returns the largest number of attempts at one upstream.
func (s *Service) Concurrency() int {
	if s.ConcurrencyLimit <= 0 {
		return defaultConcurrency
	}
	return s.ConcurrencyLimit
}

// Repeatable reports whether a request with the method may run more than once.
func (s *Service) Repeatable(method string) bool {
	return !slices.Contains(s.Orders.Methods, method)
}

// Matches reports whether a request with the host and path is for the service.
func (s *Service) Matches(host, path string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if slices.Contains(s.Hosts, host) {
		return true
	}
	return slices.ContainsFunc(s.PathPrefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// HasModel reports whether the service offers the model.
func (s *Service) HasModel(name string) bool {
	return slices.ContainsFunc(s.Models, func(m Model) bool { return m.Name == name })
}
