package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MediaType is the content type of an encoded Problem (RFC 9457, section 3).
const MediaType = "application/problem+json"

// Outcomes of a request that ended with an error.
const (
	// OutcomeNotRun states that no upstream has run the request or will run it.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown states that an upstream may have run the request.
	OutcomeUnknown = "unknown"
	// OutcomeIncomplete states that the answer ended before its last token.
	OutcomeIncomplete = "incomplete"
	// OutcomeRejected states that the request is invalid and was not run.
	OutcomeRejected = "rejected"
)

// Problem is an RFC 9457 problem detail. It is an immutable value; the With
// methods return changed copies.
type Problem struct {
	// Type is a URI that names the kind of problem.
	Type string `json:"type"`
	// Title is the text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status, from 400 to 599.
	Status int `json:"status"`
	// Detail explains this occurrence.
	Detail string `json:"detail,omitempty"`
	// Instance identifies the occurrence. It is the request path if there is one.
	Instance string `json:"instance,omitempty"`
	// Outcome is one of the Outcome constants.
	Outcome string `json:"outcome"`
	// Retryable is true only if retrying the request cannot run it twice.
	Retryable bool `json:"retryable"`
	// Step is the step of processing at which the error arose.
	Step string `json:"step,omitempty"`
	// Peer is the process or instance that took part in the step.
	Peer string `json:"peer,omitempty"`
	// RequestID is the identifier of the caller's request.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterSeconds is the value of the Retry-After header, 0 for none.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
	// OrderKey is a newly minted idempotency key, for a caller that knows that it
	// has not sent this request before.
	OrderKey string `json:"order_key,omitempty"`
}

// typePrefix precedes the kind in a problem's type.
const typePrefix = "urn:flamingohold:problem:"

// New returns a problem with the given HTTP status, outcome and detail. The kind
// is the last part of the problem's type, in snake case, such as "queue_full".
func New(kind string, status int, outcome, detail string) Problem {
	return Problem{
		Type:    typePrefix + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	}
}

// NotRun returns a retryable problem with status 503 for a request that was not
// run.
func NotRun(kind, detail string, retryAfter time.Duration) Problem {
	return New(kind, http.StatusServiceUnavailable, OutcomeNotRun, detail).WithRetryAfter(retryAfter)
}

// Unknown returns a problem with status 502 for a request that may have run. It
// is not retryable.
func Unknown(kind, detail string) Problem {
	return New(kind, http.StatusBadGateway, OutcomeUnknown, detail)
}

// Incomplete returns a problem with status 502 for an answer that ended before
// its last token.
func Incomplete(kind, detail string) Problem {
	return New(kind, http.StatusBadGateway, OutcomeIncomplete, detail)
}

// Rejected returns a problem for an invalid request.
func Rejected(kind string, status int, detail string) Problem {
	return New(kind, status, OutcomeRejected, detail)
}

// Kind returns the last part of the problem's type, in snake case.
func (p Problem) Kind() string { return strings.TrimPrefix(p.Type, typePrefix) }

// WithLocation returns a copy with the step and the peer at which the error
// arose.
func (p Problem) WithLocation(step, peer string) Problem {
	p.Step = step
	p.Peer = peer
	return p
}

// WithRequest returns a copy with the identifier of the caller's request.
func (p Problem) WithRequest(id string) Problem {
	p.RequestID = id
	return p
}

// WithRetryAfter returns a retryable copy with the delay as its Retry-After
// value, rounded up to whole seconds, at least one.
func (p Problem) WithRetryAfter(delay time.Duration) Problem {
	p.Retryable = true
	p.RetryAfterSeconds = max(1, int((delay+time.Second-1)/time.Second))
	return p
}

// WithStatus returns a copy with another HTTP status and the title of that
// status.
func (p Problem) WithStatus(status int) Problem {
	p.Status = status
	p.Title = http.StatusText(status)
	return p
}

// WithOrderKey returns a copy with a newly minted idempotency key.
func (p Problem) WithOrderKey(key string) Problem {
	p.OrderKey = key
	return p
}

// Error returns the type, step, peer and detail in one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s at step %q with peer %q: %s", p.Type, p.Step, p.Peer, p.Detail)
}

// Write writes the problem as a complete response. A Retry-After header that is
// already set is kept, as it may be more precise than whole seconds.
func (p Problem) Write(w http.ResponseWriter) error {
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", MediaType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.Retryable && h.Get("Retry-After") == "" {
		h.Set("Retry-After", strconv.Itoa(max(1, p.RetryAfterSeconds)))
	}
	w.WriteHeader(p.Status)
	_, err = w.Write(body)
	return err
}
