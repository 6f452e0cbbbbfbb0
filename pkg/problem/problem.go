package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// MediaType is the content type of an encoded Problem (RFC 9457, section 3).
const MediaType = "application/problem+json"

// Outcomes tell a caller what became of its request.
const (
	// OutcomeNotRun states that no upstream ran the request or will run it.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown states that an upstream may have run the request.
	OutcomeUnknown = "unknown"
	// OutcomeIncomplete states that the answer ended before its last token.
	OutcomeIncomplete = "incomplete"
	// OutcomeRejected states that the request itself is at fault and was not run.
	OutcomeRejected = "rejected"
)

// Problem is an RFC 9457 problem detail. It is an immutable value; the With
// methods return changed copies.
type Problem struct {
	// Type is a URI that names the kind of problem.
	Type string `json:"type"`
	// Title is the same for all problems of one type.
	Title string `json:"title"`
	// Status is the HTTP status, from 400 to 599.
	Status int `json:"status"`
	// Detail explains this occurrence.
	Detail string `json:"detail,omitempty"`
	// Instance names the occurrence, the request path where there is one.
	Instance string `json:"instance,omitempty"`
	// Outcome is one of the Outcome constants.
	Outcome string `json:"outcome"`
	// Retryable is true only if repeating the request cannot run it twice.
	Retryable bool `json:"retryable"`
	// Step is the step of processing at which the error arose.
	Step string `json:"step,omitempty"`
	// Peer is the process or instance with which the step was being done.
	Peer string `json:"peer,omitempty"`
	// RequestID is the identifier of the caller's request.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterSeconds is the value of the Retry-After header, 0 for none.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
	// OrderKey is a newly minted idempotency key, for a caller that knows that
	// it has not sent this request before.
	OrderKey string `json:"order_key,omitempty"`
}

// New returns a problem of the given kind, a lower-case word such as
// "queue_full", with its HTTP status, outcome and detail.
func New(kind string, status int, outcome, detail string) Problem {
	return Problem{
		Type:    "urn:flamingohold:problem:" + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	}
}

// NotRun returns a retryable problem with status 503 that states that the
// request was not run.
func NotRun(kind, detail string, retryAfter time.Duration) Problem {
	return New(kind, http.StatusServiceUnavailable, OutcomeNotRun, detail).WithRetryAfter(retryAfter)
}

// Unknown returns a problem with status 502 that states that the request may
// have been run. It is not retryable.
func Unknown(kind, detail string) Problem {
	return New(kind, http.StatusBadGateway, OutcomeUnknown, detail)
}

// Incomplete returns a problem with status 502 that states that an answer
// ended before its last token.
func Incomplete(kind, detail string) Problem {
	return New(kind, http.StatusBadGateway, OutcomeIncomplete, detail)
}

// Rejected returns a problem for a request that is at fault itself.
func Rejected(kind string, status int, detail string) Problem {
	return New(kind, status, OutcomeRejected, detail)
}

// WithAt returns a copy that states the step and the peer of the error.
func (p Problem) WithAt(step, peer string) Problem {
	p.Step = step
	p.Peer = peer
	return p
}

// WithRequest returns a copy that carries the caller's request identifier.
func (p Problem) WithRequest(id string) Problem {
	p.RequestID = id
	return p
}

// WithRetryAfter returns a retryable copy. The delay is rounded up to whole
// seconds, at least one.
func (p Problem) WithRetryAfter(delay time.Duration) Problem {
	p.Retryable = true
	p.RetryAfterSeconds = max(1, int((delay+time.Second-1)/time.Second))
	return p
}

// WithStatus returns a copy with another HTTP status and its title.
func (p Problem) WithStatus(status int) Problem {
	p.Status = status
	p.Title = http.StatusText(status)
	return p
}

// WithOrderKey returns a copy that offers a newly minted idempotency key.
func (p Problem) WithOrderKey(key string) Problem {
	p.OrderKey = key
	return p
}

// Error returns the type, the place and the detail in one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s at step %q with peer %q: %s", p.Type, p.Step, p.Peer, p.Detail)
}

// Write sends the problem as the whole response. A Retry-After header that is
// set already stays, as it may be finer than whole seconds.
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
