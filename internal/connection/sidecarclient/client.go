package sidecarclient

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

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// IdleTimeout is the longest time between two frames before the link is
	// closed. The sidecar sends a heartbeat each second.
	IdleTimeout = 3 * time.Second
	// callTimeout bounds a call whose answer is not a stream.
	callTimeout = 3 * time.Second
	dialTimeout = time.Second
	// maxReplyBytes bounds an answer that is not a stream. A status can hold a
	// stored response in base64.
	maxReplyBytes = 16 << 20
)

var (
	// ErrNotSent means that no connection was opened, so that the sidecar
	// cannot have received the request.
	ErrNotSent = errors.New("no connection to the sidecar")
	// ErrLost means that the link failed or ended before a terminal frame.
	ErrLost = errors.New("link was lost")
	// ErrIdleTimeout means that no data arrived for IdleTimeout.
	ErrIdleTimeout = errors.New("link was silent")
	// ErrWrongStream means that the stream belongs to another request.
	ErrWrongStream = errors.New("stream belongs to another request")
)

// Client calls sidecars. It is safe for concurrent use.
type Client struct {
	http        *http.Client
	secret      string
	self        string
	inject      func(context.Context, http.Header)
	idleTimeout time.Duration
}

// New returns a client that authenticates with the peer secret, sends self, the
// peer address of its process, with every call, and calls inject to add the trace
// context to the header.
func New(secret, self string, inject func(context.Context, http.Header)) *Client {
	transport := &http.Transport{
		DialContext:        answerhead.Dial((&net.Dialer{Timeout: dialTimeout}).DialContext),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Client{http: &http.Client{Transport: transport}, secret: secret, self: self, inject: inject, idleTimeout: IdleTimeout}
}

// WithIdleTimeout returns a copy of the client that closes a link on which no
// data arrive for the given time.
func (c *Client) WithIdleTimeout(timeout time.Duration) *Client {
	changed := *c
	changed.idleTimeout = timeout
	return &changed
}

// Offer sends the attempt to the sidecar at the address and returns its stream.
// A refusal is returned as a problem.Problem. After any other error, except
// ErrNotSent, the sidecar may have accepted the attempt.
func (c *Client) Offer(ctx context.Context, address string, a *attempt.Attempt) (*Stream, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return nil, errors.Wrap(err, "encode attempt")
	}
	return c.open(ctx, http.MethodPost, "http://"+address+"/v1/attempts", a.Account, body, a.ID)
}

// Resume returns the stream of the account's generation from the token after the
// given number.
func (c *Client) Resume(ctx context.Context, address, generation, account string, after uint64) (*Stream, error) {
	target := "http://" + address + generationPath(generation) + "/frames?after=" + strconv.FormatUint(after, 10)
	return c.open(ctx, http.MethodGet, target, account, nil, generation)
}

// open sends the request and returns the stream of the answer. The context is
// cancelled with ErrIdleTimeout if the answer does not start within the idle
// timeout. The identity is that of the attempt or generation; a stream that names
// another one is closed.
func (c *Client) open(ctx context.Context, method, target, account string, body []byte, identity string) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(c.idleTimeout, func() { cancel(ErrIdleTimeout) })
	response, err := c.do(ctx, method, target, account, body)
	if err != nil {
		watchdog.Stop()
		cause := context.Cause(ctx)
		cancel(nil)
		return nil, errors.Wrapf(classify(cause, err), "open stream %s", target)
	}
	s := newStream(ctx, response.Body, watchdog, cancel, c.idleTimeout)
	if response.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, refusal(response)
	}
	if got := response.Header.Get(attempt.StreamIDHeader); got != "" && got != identity {
		s.Close()
		return nil, errors.Wrapf(ErrWrongStream, "stream of %q in place of %q", got, identity)
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

// classify wraps a transport error in ErrNotSent, ErrIdleTimeout or ErrLost.
func classify(cause, err error) error {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return errors.Wrapf(ErrNotSent, "%v", err)
	case errors.Is(cause, ErrIdleTimeout):
		return errors.Wrapf(ErrIdleTimeout, "%v", err)
	}
	return errors.Wrapf(ErrLost, "%v", err)
}

// refusal returns the problem document in the answer. Any other answer does not
// show whether the attempt was accepted, so it is ErrLost.
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

// Cancel cancels the generation after its caller has disconnected.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	return c.call(ctx, http.MethodPost, address, generationPath(generation)+"/cancel", nil, nil)
}

// Acknowledge notifies the sidecar that the caller has received the tokens up to
// the number, so that it may drop them.
func (c *Client) Acknowledge(ctx context.Context, address, generation string, after uint64) error {
	return c.call(ctx, http.MethodPost, address, generationPath(generation)+"/acknowledge", attempt.Acknowledgement{After: after}, nil)
}

// NewOrderKey requests a new order key from the sidecar.
func (c *Client) NewOrderKey(ctx context.Context, address string) (string, error) {
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

// call sends message as JSON unless it is nil, and decodes the answer into reply
// unless that is nil.
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
		return errors.Wrapf(classify(nil, err), "call %s%s", address, path)
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
