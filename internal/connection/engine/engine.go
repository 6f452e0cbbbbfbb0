package engine

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
)

const (
	dialTimeout = 2 * time.Second
	// headerTimeout bounds the wait for the header of an answer, which engines
	// send before the first token.
	headerTimeout = 10 * time.Second
	// maxAnswerBytes bounds the body of an answer that is not a stream.
	maxAnswerBytes = 4 << 20
)

// ErrNotFound is returned for a generation that the engine does not know.
var ErrNotFound = errors.New("engine does not know the generation")

// Client is the client of one engine. It is safe for concurrent use.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client of the engine at "ip:port". Each call uses a new
// connection, because an idle one may have stopped delivering data unnoticed.
func New(address string) *Client {
	return &Client{
		address: address,
		client: &http.Client{Transport: &http.Transport{
			DialContext:           answerhead.Dial((&net.Dialer{Timeout: dialTimeout}).DialContext),
			DisableKeepAlives:     true,
			DisableCompression:    true,
			ResponseHeaderTimeout: headerTimeout,
		}},
	}
}

// Refusal is the engine's error response to a request that it did not start. It
// implements error.
type Refusal struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error returns the status and the body.
func (r *Refusal) Error() string {
	return "engine answered " + strconv.Itoa(r.Status) + ": " + string(r.Body)
}

// Start sends the OpenAI request body to the engine, with generationID as the
// request identifier, and returns the stream of tokens. The error is a *Refusal
// if the engine answers with an error status.
func (c *Client) Start(ctx context.Context, path string, body []byte, generationID string, priority int) (*Stream, error) {
	body, err := withSidecarFields(body, generationID, priority)
	if err != nil {
		return nil, err
	}
	request, err := c.request(ctx, http.MethodPost, path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.open(request, 0)
}

// withSidecarFields sets the fields of the body that the sidecar controls:
// request_id, stream and priority.
func withSidecarFields(body []byte, generationID string, priority int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	if fields == nil {
		return nil, errors.New("request body is not an object")
	}
	id, err := json.Marshal(generationID)
	if err != nil {
		return nil, errors.Wrap(err, "encode generation identifier")
	}
	fields["request_id"] = id
	fields["stream"] = json.RawMessage("true")
	fields["priority"] = json.RawMessage(strconv.Itoa(priority))
	return json.Marshal(fields)
}

// Resume returns the stream of the generation's tokens after the given number. It
// returns ErrNotFound if the engine does not know the generation.
func (c *Client) Resume(ctx context.Context, generationID string, after uint64) (*Stream, error) {
	request, err := c.request(ctx, http.MethodGet, generationPath(generationID), http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Last-Event-ID", strconv.FormatUint(after, 10))
	stream, err := c.open(request, after)
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.Status == http.StatusNotFound {
		return nil, errors.Wrapf(ErrNotFound, "resume at engine %s", c.address)
	}
	return stream, err
}

func (c *Client) open(request *http.Request, after uint64) (*Stream, error) {
	request.Header.Set("Accept", "text/event-stream")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "open stream at engine %s", c.address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalFrom(response)
	}
	return newStream(response.Body, after), nil
}

func refusalFrom(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrapf(err, "read answer with status %d", response.StatusCode)
	}
	return &Refusal{Status: response.StatusCode, Header: response.Header, Body: body}
}

// Cancel cancels the generation in the engine. It is not an error if the engine
// does not know the generation.
func (c *Client) Cancel(ctx context.Context, generationID string) error {
	request, err := c.request(ctx, http.MethodDelete, generationPath(generationID), http.NoBody)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "cancel at engine %s", c.address)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusNotFound {
		return errors.Newf("cancel at engine %s: status %d", c.address, response.StatusCode)
	}
	return nil
}

// Models returns the names of the models that the engine serves.
func (c *Client) Models(ctx context.Context) ([]string, error) {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := c.getJSON(ctx, "/v1/models", &list); err != nil {
		return nil, err
	}
	names := make([]string, len(list.Data))
	for i, model := range list.Data {
		names[i] = model.ID
	}
	return names, nil
}

func (c *Client) getJSON(ctx context.Context, path string, value any) error {
	body, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(body, value), "decode %s of engine %s", path, c.address)
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	request, err := c.request(ctx, http.MethodGet, path, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s of engine %s", path, c.address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("read %s of engine %s: status %d", path, c.address, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return body, errors.Wrapf(err, "read %s of engine %s", path, c.address)
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	return request, errors.Wrapf(err, "address engine %s", c.address)
}

func generationPath(id string) string { return "/v1/completions/" + url.PathEscape(id) }
