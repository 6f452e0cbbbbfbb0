package gatewayclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	maxIdleConnections = 10_000
	maxEventBytes      = 1 << 20
	maxResponseBytes   = 64 << 20
)

// Client sends requests to gateways. It is safe for concurrent use.
type Client struct {
	client *http.Client
}

// New returns a client that shares no connections with other clients.
func New() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Target is the gateway that a request is sent to and the account that sends it.
type Target struct {
	// Gateway is the address of the gateway.
	Gateway string
	// Key is the API key of the client account.
	Key string
	// TraceParent is the W3C trace context, or empty.
	TraceParent string
}

// Prompt is the body of a completion request. Client.Stream sets the field Stream.
type Prompt struct {
	Model     string `json:"model"`
	Text      string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

// Answer is the part of a streamed answer that the client has received.
type Answer struct {
	Status int
	// Problem is set for a refusal and for an answer that ended with an error
	// event.
	Problem *problem.Problem
	// Tokens counts the received chunks, each of which contains one token.
	Tokens int
	// UsageTokens is the number of output tokens that the usage in the last chunk
	// states, or 0.
	UsageTokens int
	// Done is true if the answer ended with the end marker [DONE].
	Done bool
	// LastEventID is the identifier of the last server-sent event.
	LastEventID string
	Faults      Faults
	// RequestID is the gateway's identifier of the request, or empty if the
	// response states none.
	RequestID string
}

// Truncated reports whether the answer has an end marker but fewer tokens than
// its usage states, or no usage.
func (a *Answer) Truncated() bool { return a.Done && (a.UsageTokens == 0 || a.Tokens < a.UsageTokens) }

// Stream sends the prompt and calls onToken with the text and the arrival time of
// each token. It returns an error if the connection fails or the response can't
// be decoded; a refusal is in the field Problem of the answer.
func (c *Client) Stream(ctx context.Context, t Target, p Prompt, onToken func(string, time.Time)) (*Answer, error) {
	p.Stream = true
	body, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode prompt")
	}
	response, err := c.send(ctx, t, http.MethodPost, "/v1/completions", body, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	a := &Answer{Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id")}
	if response.StatusCode != http.StatusOK {
		a.Problem, err = readProblem(response.Body)
		return a, err
	}
	r := &eventReader{answer: a, checker: newChecker(p.Text), onToken: onToken}
	err = r.readEvents(response.Body)
	a.Faults = r.checker.faults
	return a, err
}

// send sends a request with the credentials of the target and returns the
// response with its body unread.
func (c *Client) send(
	ctx context.Context, t Target, method, path string, body []byte, header http.Header,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.Gateway+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Authorization", "Bearer "+t.Key)
	request.Header.Set("Content-Type", "application/json")
	if t.TraceParent != "" {
		request.Header.Set("Traceparent", t.TraceParent)
	}
	response, err := c.client.Do(request)
	return response, errors.Wrapf(err, "%s %s at %s", method, path, t.Gateway)
}

// readProblem decodes the body of a refusal.
func readProblem(r io.Reader) (*problem.Problem, error) {
	content, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read problem")
	}
	p := new(problem.Problem)
	if err := json.Unmarshal(content, p); err != nil {
		return nil, errors.Wrapf(err, "decode problem %q", content)
	}
	return p, nil
}

// eventReader reads the server-sent events of one answer.
type eventReader struct {
	answer  *Answer
	checker *checker
	onToken func(string, time.Time)
	parser  fastjson.Parser
}

func (r *eventReader) readEvents(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	event := ""
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "":
			event = ""
		case "event":
			event = value
		case "id":
			r.answer.LastEventID = value
		case "data":
			if err := r.handleData(event, value); err != nil {
				return err
			}
		}
	}
	return errors.Wrap(scanner.Err(), "read answer")
}

// handleData processes the data of an event: the end marker, an error or a chunk.
func (r *eventReader) handleData(event, data string) error {
	if data == "[DONE]" {
		r.answer.Done = true
		return nil
	}
	value, err := r.parser.Parse(data)
	if err != nil {
		return errors.Wrapf(err, "decode event %q", data)
	}
	if event == "error" || value.Exists("error") || value.Exists("outcome") {
		r.answer.Problem = decodeProblem(value)
		return nil
	}
	if usage := value.Get("usage"); usage != nil {
		r.answer.UsageTokens = usage.GetInt("completion_tokens")
	}
	text := string(value.GetStringBytes("choices", "0", "text"))
	r.checker.checkTokens(text)
	r.answer.Tokens++
	if r.onToken != nil {
		r.onToken(text, time.Now())
	}
	return nil
}

// decodeProblem decodes an error event. The problem is the event itself or its
// member error.
func decodeProblem(value *fastjson.Value) *problem.Problem {
	if inner := value.Get("error"); inner != nil {
		value = inner
	}
	p := new(problem.Problem)
	if err := json.Unmarshal(value.MarshalTo(nil), p); err != nil {
		p.Detail = err.Error()
	}
	return p
}

// Response is the response of a plain service, or a refusal by the gateway.
type Response struct {
	Status int
	Body   []byte
	Header http.Header
	// Problem is set if the body is a problem document.
	Problem *problem.Problem
}

// Call sends a request for a plain service. The key is the idempotency key, or
// empty.
func (c *Client) Call(ctx context.Context, t Target, method, path, key string, body []byte) (*Response, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	response, err := c.send(ctx, t, method, path, body, header)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read response of %s", t.Gateway)
	}
	result := &Response{Status: response.StatusCode, Body: content, Header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), problem.MediaType) {
		result.Problem = new(problem.Problem)
		err = errors.Wrap(json.Unmarshal(content, result.Problem), "decode problem")
	}
	return result, err
}

// NewOrderKey requests a new idempotency key for the path from the gateway.
func (c *Client) NewOrderKey(ctx context.Context, t Target, path string) (string, error) {
	body, err := json.Marshal(orderKeyRequest{Path: path})
	if err != nil {
		return "", errors.Wrap(err, "encode order key request")
	}
	response, err := c.Call(ctx, t, http.MethodPost, "/v1/order-keys", "", body)
	if err != nil {
		return "", err
	}
	var orderKey orderKeyResponse
	if err := json.Unmarshal(response.Body, &orderKey); err != nil || orderKey.OrderKey == "" {
		return "", errors.Newf("request order key: status %d: %s", response.Status, response.Body)
	}
	return orderKey.OrderKey, nil
}

// orderKeyRequest is the body of POST /v1/order-keys.
type orderKeyRequest struct {
	Path string `json:"path"`
}

// orderKeyResponse is the response to POST /v1/order-keys.
type orderKeyResponse struct {
	OrderKey string `json:"order_key"`
}
