package caller

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
	maxConnections   = 10_000
	maxEventBytes    = 1 << 20
	maxResponseBytes = 64 << 20
)

// Caller sends requests to gateways. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// New returns a caller with its own connections.
func New() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		DisableCompression:  true,
	}}}
}

// Close ends idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Target is where and as whom to send a request.
type Target struct {
	Gateway string
	// Key is the client account's key.
	Key string
	// TraceParent is the W3C trace context, empty for none.
	TraceParent string
}

// Prompt is a request for a streamed answer.
type Prompt struct {
	Model     string `json:"model"`
	Text      string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

// Answer is what a caller received of a streamed answer.
type Answer struct {
	Status int
	// Problem is set for a refusal and for an answer that broke off with an
	// error event.
	Problem *problem.Problem
	// Tokens counts the received tokens.
	Tokens int
	// Declared is the number of tokens that the last chunk's usage states.
	Declared int
	// Done is true if the answer ended with the normal end marker.
	Done bool
	// LastEventID is that of the last event.
	LastEventID string
	Faults      Faults
	// RequestID is the gateway's identifier of the request, if it states one.
	RequestID string
}

// Truncated reports whether the answer looks complete and is not.
func (a *Answer) Truncated() bool { return a.Done && (a.Declared == 0 || a.Tokens < a.Declared) }

// Stream sends the prompt and calls onToken with the text and the time of each
// token. The error is that of the connection; refusals are in the answer.
func (c *Caller) Stream(ctx context.Context, t Target, p Prompt, onToken func(string, time.Time)) (*Answer, error) {
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
	r := &reader{answer: a, checker: newChecker(p.Text), onToken: onToken}
	err = r.read(response.Body)
	a.Faults = r.checker.faults
	return a, err
}

func (c *Caller) send(
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

// reader reads the server-sent events of one answer.
type reader struct {
	answer  *Answer
	checker *checker
	onToken func(string, time.Time)
	parser  fastjson.Parser
}

func (r *reader) read(body io.Reader) error {
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
			if err := r.data(event, value); err != nil {
				return err
			}
		}
	}
	return errors.Wrap(scanner.Err(), "read answer")
}

func (r *reader) data(event, data string) error {
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
		r.answer.Declared = usage.GetInt("completion_tokens")
	}
	text := string(value.GetStringBytes("choices", "0", "text"))
	r.checker.observe(text)
	r.answer.Tokens++
	if r.onToken != nil {
		r.onToken(text, time.Now())
	}
	return nil
}

// decodeProblem reads an error event, which may hold the problem itself or
// under the name error.
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

// Response is a plain service's answer, or a refusal.
type Response struct {
	Status  int
	Body    []byte
	Header  http.Header
	Problem *problem.Problem
}

// Call sends a request for a plain service. The key is the idempotency key,
// empty for none.
func (c *Caller) Call(ctx context.Context, t Target, method, path, key string, body []byte) (*Response, error) {
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
		return nil, errors.Wrapf(err, "read answer of %s", t.Gateway)
	}
	result := &Response{Status: response.StatusCode, Body: content, Header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), problem.MediaType) {
		result.Problem = new(problem.Problem)
		err = errors.Wrap(json.Unmarshal(content, result.Problem), "decode problem")
	}
	return result, err
}

// MintKey returns a new idempotency key from the gateway for the path.
func (c *Caller) MintKey(ctx context.Context, t Target, path string) (string, error) {
	body, err := json.Marshal(mintRequest{Path: path})
	if err != nil {
		return "", errors.Wrap(err, "encode request for a key")
	}
	response, err := c.Call(ctx, t, http.MethodPost, "/v1/order-keys", "", body)
	if err != nil {
		return "", err
	}
	var minted mintResponse
	if err := json.Unmarshal(response.Body, &minted); err != nil || minted.OrderKey == "" {
		return "", errors.Newf("mint key: status %d: %s", response.Status, response.Body)
	}
	return minted.OrderKey, nil
}

type mintRequest struct {
	Path string `json:"path"`
}

type mintResponse struct {
	OrderKey string `json:"order_key"`
}
