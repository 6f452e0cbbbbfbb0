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

// DefaultKeyLifetime is the time for which an idempotency key is honoured
// unless the service's file sets another one.
const DefaultKeyLifetime = 900 * time.Second

const (
	defaultQueueCapacity    = 64 // attempts
	defaultAdmissionTimeout = 10 * time.Second
	defaultConcurrency      = 64 // attempts
)

// Service is the content of a file service.flamingohold.json.
type Service struct {
	// Name is unique in the bundle.
	Name string `json:"name"`
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// Hosts and PathPrefixes select the requests that a plain service serves.
	Hosts        []string `json:"hosts,omitempty"`
	PathPrefixes []string `json:"path_prefixes,omitempty"`
	// Models lists the models of an engine service.
	Models []Model `json:"models,omitempty"`
	// Slots lists the slots of the service's instances, to which opaque
	// idempotency keys are mapped.
	Slots []string `json:"slots,omitempty"`
	// DataCentres lists the data centres in which the instances run, empty for
	// any. Only the checks of a configuration use it.
	DataCentres []string `json:"data_centres,omitempty"`
	// ChecksFencing is true if the upstream refuses a control request with a
	// stale fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Orders states which requests run at most once.
	Orders Orders `json:"orders"`
	// Queue limits the waiting attempts at each sidecar.
	Queue Queue `json:"queue"`
	// ConcurrencyLimit is the largest number of running attempts at each sidecar,
	// 0 for 64.
	ConcurrencyLimit int `json:"concurrency_limit,omitempty"`
}

// Model is a model that an engine service serves.
type Model struct {
	Name string `json:"name"`
	// ContextTokens bounds the total number of prompt and output tokens.
	ContextTokens int `json:"context_tokens"`
}

// Orders states which requests of a plain service run at most once.
type Orders struct {
	// Methods lists the HTTP methods of requests that run at most once.
	Methods []string `json:"methods,omitempty"`
	// KeyLifetimeSeconds is the time for which an idempotency key is honoured, 0
	// for 900.
	KeyLifetimeSeconds int `json:"key_lifetime_s,omitempty"`
	// UpstreamDeduplicates is true if the upstream itself runs requests with the
	// same Idempotency-Key at most once, over all of its instances.
	UpstreamDeduplicates bool `json:"upstream_deduplicates,omitempty"`
	// ClockSkewBoundSeconds is the operators' bound on the error of callers'
	// clocks, with which a newly started sidecar accepts version 7 UUID keys that
	// were created after its start. With 0, it does not use the creation time of
	// keys.
	ClockSkewBoundSeconds int `json:"clock_skew_bound_s,omitempty"`
}

// Queue limits the waiting attempts at each sidecar of a service.
type Queue struct {
	// Capacity is the largest number of waiting attempts, 0 for 64.
	Capacity int `json:"capacity,omitempty"`
	// TimeoutMillis is the longest waiting time in milliseconds, 0 for 10,000.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
}

// KeyLifetime returns the time for which an idempotency key is honoured.
func (s *Service) KeyLifetime() time.Duration {
	if s.Orders.KeyLifetimeSeconds <= 0 {
		return DefaultKeyLifetime
	}
	return time.Duration(s.Orders.KeyLifetimeSeconds) * time.Second
}

// QueueCapacity returns the largest number of waiting attempts at one sidecar.
func (s *Service) QueueCapacity() int {
	if s.Queue.Capacity <= 0 {
		return defaultQueueCapacity
	}
	return s.Queue.Capacity
}

// AdmissionTimeout returns the longest time that an attempt waits for admission.
func (s *Service) AdmissionTimeout() time.Duration {
	if s.Queue.TimeoutMillis <= 0 {
		return defaultAdmissionTimeout
	}
	return time.Duration(s.Queue.TimeoutMillis) * time.Millisecond
}

// Concurrency returns the largest number of running attempts at one sidecar.
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

// Matches reports whether the service serves requests with the host and path.
func (s *Service) Matches(host, path string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if slices.Contains(s.Hosts, host) {
		return true
	}
	return slices.ContainsFunc(s.PathPrefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// HasModel reports whether the service serves the model.
func (s *Service) HasModel(name string) bool {
	return slices.ContainsFunc(s.Models, func(m Model) bool { return m.Name == name })
}
