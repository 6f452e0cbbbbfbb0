package serviceclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/connection/bodyend"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/headers"
)

const (
	dialTimeout = 2 * time.Second
	// CallTimeout bounds a call. A service that takes longer counts as failed,
	// and the outcome of the call as unknown.
	CallTimeout = 120 * time.Second
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 8 << 20
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive
	// settings. They detect within about 25 s that a peer no longer responds.
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

var (
	// ErrNotSent is returned for a request for which no connection was opened,
	// so that the service cannot have run it.
	ErrNotSent = errors.New("request was not handed to the service")
	// ErrTooLarge is returned for an answer above MaxAnswerBytes. The service
	// has run the request.
	ErrTooLarge = errors.New("answer of the service is too large")
)

// Client is the client of one plain service. It is safe for concurrent use.
type Client struct {
	address   string
	transport *http.Transport
}

// New returns a client of the service at "ip:port". Each request uses a new
// connection: if a reused one failed, the transport would itself retry a request
// with an Idempotency-Key header, whether or not the service ran it.
func New(address string) *Client {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &Client{
		address: address,
		transport: &http.Transport{
			DialContext:        answerhead.Dial(dialer.DialContext),
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Answer is the service's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends the request to the service and returns the complete answer. After an
// error other than ErrNotSent and ErrTooLarge, the service may have run it.
func (c *Client) Call(ctx context.Context, r *attempt.Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return Answer{}, errors.CombineErrors(ErrNotSent, err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return Answer{}, errors.Wrapf(ErrNotSent, "call service %s: %v", c.address, err)
	}
	if err != nil {
		return Answer{}, errors.Wrapf(err, "call service %s", c.address)
	}
	answer, err := c.read(response)
	if err == nil && isCloseDelimited(response) && bodyend.Confirm(ctx, c.reach) != nil {
		return Answer{}, errors.Newf("service %s ended with an answer that has no length", c.address)
	}
	return answer, err
}

// isCloseDelimited reports whether only the end of the connection delimits the body.
// It ends in the same way if the service is killed.
func isCloseDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Request.Method != http.MethodHead
}

func (c *Client) request(ctx context.Context, r *attempt.Request) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: c.address, Path: r.Path, RawQuery: r.Query}
	var body io.Reader = http.NoBody
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), body)
	if err != nil {
		return nil, errors.Wrapf(err, "create request for service %s", c.address)
	}
	request.Header = headers.EndToEnd(r.Header)
	if host := r.Header.Get("Host"); host != "" {
		request.Host = host
		request.Header.Del("Host")
	}
	return request, nil
}

func (c *Client) read(response *http.Response) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, errors.Wrapf(err, "read answer of service %s", c.address)
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, errors.Wrapf(ErrTooLarge, "call service %s", c.address)
	}
	return Answer{Status: response.StatusCode, Header: headers.EndToEnd(response.Header), Body: body}, nil
}

// Reachable reports whether the service accepts connections.
func (c *Client) Reachable(ctx context.Context) bool { return c.reach(ctx) == nil }

// reach returns an error if the service accepts no connection.
func (c *Client) reach(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Wrapf(err, "dial service %s", c.address)
	}
	_ = connection.Close()
	return nil
}
