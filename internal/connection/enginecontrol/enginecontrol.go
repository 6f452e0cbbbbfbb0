package enginecontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
)

const (
	dialTimeout = 2 * time.Second
	// requestTimeout bounds a control request. Loading weights takes minutes.
	requestTimeout = 10 * time.Minute
	// stateTimeout bounds a read of the state.
	stateTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer of the engine.
	maxAnswerBytes = 1 << 20
)

// Actions of control requests.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

var (
	// ErrFenced is returned if a later holder of the slot controls the engine.
	ErrFenced = errors.New("a later holder of the slot controls the engine")
	// ErrNotEffective is returned if the engine accepted a control request but its
	// state does not reflect it.
	ErrNotEffective = errors.New("control request did not take effect")
)

// Client sends control requests to one engine. It is safe for concurrent use;
// concurrent requests for one name are executed in any order.
type Client struct {
	address string
	fence   uint64
	// checksFencing is true if the engine checks the fencing number.
	checksFencing bool
	client        *http.Client
}

// controlRequest is the body of a control request.
type controlRequest struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Name   string `json:"name"`
}

// state is the state that an engine reports: the highest fencing number that it
// has received, the models that it serves and its role.
type state struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// New returns a client for the engine at "ip:port" that sends the fencing number
// with each control request. With checksFencing the engine itself refuses lower
// numbers.
func New(address string, fence uint64, checksFencing bool) *Client {
	return &Client{
		address:       address,
		fence:         fence,
		checksFencing: checksFencing,
		client: &http.Client{Transport: &http.Transport{
			DialContext:       answerhead.Dial((&net.Dialer{Timeout: dialTimeout}).DialContext),
			DisableKeepAlives: true,
		}},
	}
}

// Load makes the engine load and serve the model or the adapter.
func (c *Client) Load(ctx context.Context, name string) error {
	return c.execute(ctx, actionLoad, name)
}

// Unload makes the engine unload the model or the adapter.
func (c *Client) Unload(ctx context.Context, name string) error {
	return c.execute(ctx, actionUnload, name)
}

// SetRole changes the engine's role.
func (c *Client) SetRole(ctx context.Context, name string) error {
	return c.execute(ctx, actionRole, name)
}

func (c *Client) execute(ctx context.Context, action, name string) error {
	wanted := controlRequest{Fence: c.fence, Action: action, Name: name}
	if c.checksFencing {
		return c.send(ctx, wanted)
	}
	before, err := c.read(ctx)
	switch {
	case err != nil:
		return err
	case before.Fence > c.fence:
		return errors.Wrapf(ErrFenced, "fencing number %d at engine %s", before.Fence, c.address)
	case before.reflects(wanted):
		return nil
	}
	if err := c.send(ctx, wanted); err != nil {
		return err
	}
	return c.verify(ctx, wanted)
}

func (c *Client) verify(ctx context.Context, wanted controlRequest) error {
	after, err := c.read(ctx)
	switch {
	case err != nil:
		return err
	case after.Fence > c.fence:
		return errors.Wrapf(ErrFenced, "fencing number %d at engine %s", after.Fence, c.address)
	case !after.reflects(wanted):
		return errors.Wrapf(ErrNotEffective, "%s %s at engine %s", wanted.Action, wanted.Name, c.address)
	}
	return nil
}

// reflects reports whether the state is the result of the control request.
func (s *state) reflects(wanted controlRequest) bool {
	switch wanted.Action {
	case actionLoad:
		return slices.Contains(s.Models, wanted.Name)
	case actionUnload:
		return !slices.Contains(s.Models, wanted.Name)
	}
	return s.Role == wanted.Name
}

func (c *Client) send(ctx context.Context, wanted controlRequest) error {
	body, err := json.Marshal(wanted)
	if err != nil {
		return errors.Wrap(err, "encode control request")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, answer, err := c.call(ctx, http.MethodPost, bytes.NewReader(body))
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return errors.Wrapf(ErrFenced, "%s %s at engine %s", wanted.Action, wanted.Name, c.address)
	case status >= http.StatusMultipleChoices:
		return errors.Newf("%s %s at engine %s: status %d: %s", wanted.Action, wanted.Name, c.address, status, answer)
	}
	return nil
}

func (c *Client) read(ctx context.Context) (*state, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	status, answer, err := c.call(ctx, http.MethodGet, http.NoBody)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Newf("read state of engine %s: status %d", c.address, status)
	}
	s := new(state)
	return s, errors.Wrapf(json.Unmarshal(answer, s), "decode state of engine %s", c.address)
}

func (c *Client) call(ctx context.Context, method string, body io.Reader) (status int, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+"/orders", body)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "create request for engine %s", c.address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "send request to engine %s", c.address)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, answer, errors.Wrapf(err, "read answer of engine %s", c.address)
}
