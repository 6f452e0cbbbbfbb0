package attempt

import "net/http"

// Status is a sidecar's answer to a query or a revocation of an attempt.
type Status struct {
	// State is one of the State constants.
	State string `json:"state"`
	// GenerationID names the tokens of a generation that is done.
	GenerationID string `json:"generation_id,omitempty"`
	// Response is the stored answer to a call that is done, nil if there was no
	// room to store it.
	Response *Response `json:"response,omitempty"`
}

// Response is an upstream's answer to a call.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"headers,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Revocation is the body of a request to revoke an attempt.
type Revocation struct {
	// BoundIncarnation is the attempt's. Without it, an attempt that the sidecar
	// has not seen is marked as revoked, but its state is reported as unknown:
	// another incarnation may have run it.
	BoundIncarnation string `json:"bound_incarnation,omitempty"`
	// Account and OrderKey are the attempt's. With them, the answer holds for all
	// attempts with the key, not for this one alone.
	Account  string `json:"account,omitempty"`
	OrderKey string `json:"order_key,omitempty"`
}

// RevocationOf returns the revocation of the attempt. A repeatable attempt's
// key is the upstream's concern.
func RevocationOf(a *Attempt) Revocation {
	r := Revocation{BoundIncarnation: a.BoundIncarnation}
	if !a.Repeatable {
		r.Account = a.Account
		r.OrderKey = a.OrderKey
	}
	return r
}

// MintedKey is the answer to a request for an order key.
type MintedKey struct {
	OrderKey string `json:"order_key"`
}

// Acknowledgement states that the caller has the tokens up to After.
type Acknowledgement struct {
	After uint64 `json:"after"`
}

// Headers of calls between processes.
const (
	// AccountHeader names the client account on whose behalf a call is made.
	AccountHeader = "Flamingohold-Account"
	// PeerHeader is the peer address of the process that makes a call.
	PeerHeader = "Flamingohold-Peer"
	// StreamHeader names, in the answer to an offer or a resumption, the attempt
	// or generation whose frames follow.
	StreamHeader = "Flamingohold-Stream"
)
