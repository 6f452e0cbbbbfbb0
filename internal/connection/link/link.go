package link

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// SilenceTimeout is the longest time between two frames before the link is
	// abandoned. The sidecar sends a heartbeat each second.
	SilenceTimeout = 3 * time.Second
	// callTimeout bounds a call that is answered at once.
	callTimeout = 3 * time.Second
	dialTimeout = time.Second
	// maxReplyBytes bounds the answer to a call other than a stream. A status
	// holds a stored response in base64.
	maxReplyBytes = 16 << 20
)

var (
	// ErrNotHanded states that no connection was opened, so that the sidecar
	// cannot have received anything.
	ErrNotHanded = errors.New("no connection to the sidecar")
	// ErrLost states that the link ended without a terminal frame.
	ErrLost = errors.New("link was lost")
	// ErrSilent states that nothing arrived for SilenceTimeout.
	ErrSilent = errors.New("link was silent")
	// ErrCrossed states that the stream belongs to another request.
	ErrCrossed = errors.New("stream belongs to another request")
)

// Client calls sidecars. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	secret  string
	self    string
	inject  func(context.Context, http.Header)
	silence time.Duration
}

// New returns a client that authenticates with the peer secret, names its
// process's peer address in its calls, and adds the trace of the context with
// inject.
func New(secret, self string, inject func(context.Context, http.Header)) *Client {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Client{http: &http.Client{Transport: transport}, secret: secret, self: self, inject: inject, silence: SilenceTimeout}
}

// WithSilenceTimeout returns a client that abandons a link after the time.
func (c *Client) WithSilenceTimeout(silence time.Duration) *Client {
	changed := *c
	changed.silence = silence
	return &changed
}

// Offer sends the attempt to the sidecar at the address and returns its stream.
// A refusal is returned as a problem.Problem. After any other error than
// ErrNotHanded the sidecar may have accepted the attempt.
func (c *Client) Offer(ctx context.Context, address string, a *attempt.Attempt) (*Stream, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return nil, errors.Wrap(err, "encode attempt")
	}
	return c.open(ctx, http.MethodPost, "http://"+address+"/v1/attempts", a.Account, body, a.ID)
}

// Resume continues the account's generation after the token with the number.
func (c *Client) Resume(ctx context.Context, address, generation, account string, after uint64) (*Stream, error) {
	target := "http://" + address + generationPath(generation) + "/frames?after=" + strconv.FormatUint(after, 10)
	return c.open(ctx, http.MethodGet, target, account, nil, generation)
}

// open starts a stream. It is abandoned if the first frame takes too long.
func (c *Client) open(ctx context.Context, method, target, account string, body []byte, identity string) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := time.AfterFunc(c.silence, func() { cancel(ErrSilent) })
	response, err := c.do(ctx, method, target, account, body)
	if err != nil {
		watch.Stop()
		cause := context.Cause(ctx)
		cancel(nil)
		return nil, errors.Wrapf(failure(cause, err), "open stream %s", target)
	}
	s := newStream(ctx, response.Body, watch, cancel, c.silence)
	if response.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, refusal(response)
	}
	if got := response.Header.Get(attempt.StreamHeader); got != "" && got != identity {
		s.Close()
		return nil, errors.Wrapf(ErrCrossed, "stream of %q in place of %q", got, identity)
	}
	if response.Header.Get("Content-Type") != frame.MediaType {
		s.Close()
		return nil, errors.Wrapf(ErrLost, "answer of type %q", response.Header.Get("Content-Type"))
	}
	return s, nil
}

func (c *Client) do(ctx context.Context, method, target, account string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.secret)
	request.Header.Set(attempt.PeerHeader, c.self)
	if account != "" {
		request.Header.Set(attempt.AccountHeader, account)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	c.inject(ctx, request.Header)
	return c.http.Do(request)
}

// failure classifies a transport error.
func failure(cause, err error) error {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return errors.Wrapf(ErrNotHanded, "%v", err)
	case errors.Is(cause, ErrSilent):
		return errors.Wrapf(ErrSilent, "%v", err)
	}
	return errors.Wrapf(ErrLost, "%v", err)
}

// refusal reads a problem. An answer that is none says nothing about the
// attempt.
func refusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrapf(ErrLost, "%v", err)
	}
	var p problem.Problem
	if response.Header.Get("Content-Type") != problem.MediaType || json.Unmarshal(body, &p) != nil || p.Outcome == "" {
		return errors.Wrapf(ErrLost, "status %d without a problem", response.StatusCode)
	}
	p.Status = response.StatusCode
	return p
}

// Revoke marks the attempt revoked unless it was started, and returns its state.
func (c *Client) Revoke(ctx context.Context, address, id string, r attempt.Revocation) (attempt.Status, error) {
	var status attempt.Status
	err := c.call(ctx, http.MethodPost, address, "/v1/attempts/"+url.PathEscape(id)+"/revoke", r, &status)
	return status, err
}

// Query returns the state of the attempt.
func (c *Client) Query(ctx context.Context, address, id string) (attempt.Status, error) {
	var status attempt.Status
	err := c.call(ctx, http.MethodGet, address, "/v1/attempts/"+url.PathEscape(id), nil, &status)
	return status, err
}

// Cancel ends the generation, whose caller is gone.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	return c.call(ctx, http.MethodPost, address, generationPath(generation)+"/cancel", nil, nil)
}

// Acknowledge lets the sidecar drop the tokens up to the number.
func (c *Client) Acknowledge(ctx context.Context, address, generation string, after uint64) error {
	return c.call(ctx, http.MethodPost, address, generationPath(generation)+"/acknowledge", attempt.Acknowledgement{After: after}, nil)
}

// MintKey returns a new order key of the sidecar.
func (c *Client) MintKey(ctx context.Context, address string) (string, error) {
	var key attempt.MintedKey
	err := c.call(ctx, http.MethodPost, address, "/v1/order-keys", nil, &key)
	return key.OrderKey, err
}

// State returns the sidecar's load report.
func (c *Client) State(ctx context.Context, address string) (load.Report, error) {
	var report load.Report
	err := c.call(ctx, http.MethodGet, address, "/v1/state", nil, &report)
	return report, err
}

// call sends a message and decodes the reply, each if it is not nil.
func (c *Client) call(ctx context.Context, method, address, path string, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body []byte
	if message != nil {
		var err error
		if body, err = json.Marshal(message); err != nil {
			return errors.Wrap(err, "encode message")
		}
	}
	response, err := c.do(ctx, method, "http://"+address+path, "", body)
	if err != nil {
		return errors.Wrapf(failure(nil, err), "call %s%s", address, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusal(response)
	}
	if reply == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply)
	return errors.Wrapf(err, "decode reply of %s%s", address, path)
}

func generationPath(generation string) string { return "/v1/generations/" + url.PathEscape(generation) }
