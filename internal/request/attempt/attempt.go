package attempt

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kinds of attempts.
const (
	// KindGeneration is a request to a model engine, answered token by token.
	KindGeneration = "generation"
	// KindCall is a request to a plain service, answered by one response.
	KindCall = "call"
)

// States of an attempt at a sidecar.
const (
	// StateUnknown states that the sidecar has no record of the attempt.
	StateUnknown = "unknown"
	// StateQueued states that the attempt waits and can still be revoked.
	StateQueued = "queued"
	// StateRunning states that the attempt was handed to the upstream.
	StateRunning = "running"
	// StateDone states that the upstream answered.
	StateDone = "done"
	// StateRevoked states that the attempt never ran and never will.
	StateRevoked = "revoked"
	// StateLost states that the upstream failed while it ran the attempt.
	StateLost = "lost"
)

// Attempt is one try of a caller's request at one sidecar.
type Attempt struct {
	// ID is drawn by the gateway and never used for a second try.
	ID string `json:"attempt_id"`
	// RequestID is the caller's or the gateway's identifier of the request. It
	// is unique only within one client account, if at all.
	RequestID string `json:"request_id"`
	// Account is the authenticated client account.
	Account string `json:"account"`
	// Service is the name of the service that the request is for.
	Service string `json:"service"`
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// Repeatable is false for a request that may run at most once.
	Repeatable bool `json:"repeatable"`
	// OrderKey is the caller's idempotency key, empty if there is none.
	OrderKey string `json:"order_key,omitempty"`
	// BoundIncarnation is the only sidecar incarnation that may run the
	// attempt; empty only for repeatable requests.
	BoundIncarnation string `json:"bound_incarnation,omitempty"`
	// ConfigurationVersion is the version in force at the gateway.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// Priority orders waiting work, lower first.
	Priority int `json:"priority"`
	// AdmissionTimeoutMillis is how long the attempt may wait for admission.
	// It is a duration, so that the clocks of the processes need not agree.
	AdmissionTimeoutMillis int64 `json:"admission_timeout_ms"`
	// Model is the model name of a generation.
	Model string `json:"model,omitempty"`
	// PromptTokens is an estimate of the prompt's length.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// MaxTokens is the caller's bound on the output, 0 for none.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Stream is true if the caller receives tokens as they are generated.
	Stream bool `json:"stream,omitempty"`
	// Request is the HTTP request for the upstream.
	Request Request `json:"request"`
}

// Request is the part of an HTTP request that reaches the upstream.
type Request struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query,omitempty"`
	Header http.Header `json:"headers,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// AdmissionTimeout returns how long the attempt may wait for admission.
func (a *Attempt) AdmissionTimeout() time.Duration {
	return time.Duration(a.AdmissionTimeoutMillis) * time.Millisecond
}

// Validate returns an error that names the first field at fault.
func (a *Attempt) Validate() error {
	switch {
	case a.ID == "":
		return errors.New("attempt_id is empty")
	case a.Account == "":
		return errors.New("account is empty")
	case a.Service == "":
		return errors.New("service is empty")
	case a.Kind != KindGeneration && a.Kind != KindCall:
		return errors.Newf("kind %q is neither %q nor %q", a.Kind, KindGeneration, KindCall)
	case a.AdmissionTimeoutMillis <= 0:
		return errors.New("admission_timeout_ms is not positive")
	case !a.Repeatable && a.BoundIncarnation == "":
		return errors.New("bound_incarnation is empty for a request that is not repeatable")
	case a.Request.Method == "" || a.Request.Path == "":
		return errors.New("request.method or request.path is empty")
	}
	return nil
}
