package attempt

import "net/http"

// Status is a sidecar's answer to a query or a revocation of an attempt.
type Status struct {
	// State is one of the State constants.
	State string `json:"state"`
	// GenerationID identifies a generation that is done and whose tokens can be
	// read.
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
	// Binding is that field of the attempt. If it is empty, an attempt that the
	// sidecar does not know is marked as revoked, but its state is reported as
	// unknown, as another incarnation may have run it.
	Binding string `json:"bound_incarnation,omitempty"`
	// Account and OrderKey are those fields of the attempt. If they are set, the
	// reported state applies to all attempts with the key.
	Account  string `json:"account,omitempty"`
	OrderKey string `json:"order_key,omitempty"`
}

// RevocationOf returns the revocation of the attempt. It leaves out the order
// key of a repeatable attempt, as the upstream handles that key itself.
func RevocationOf(a *Attempt) Revocation {
	r := Revocation{Binding: a.Binding}
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

// Acknowledgement states that the caller has received the tokens up to the
// number After.
type Acknowledgement struct {
	After uint64 `json:"after"`
}

// Header fields of calls between processes.
const (
	// AccountHeader holds the client account on whose behalf a call is made.
	AccountHeader = "Flamingohold-Account"
	// PeerHeader holds the peer address of the calling process.
	PeerHeader = "Flamingohold-Peer"
	// StreamIDHeader holds, in the answer to an offer or a resumption, the
	// identifier of the attempt or generation whose frames follow.
	StreamIDHeader = "Flamingohold-Stream"
)
