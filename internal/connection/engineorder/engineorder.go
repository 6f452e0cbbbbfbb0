package engineorder

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
)

const (
	dialTimeout = 2 * time.Second
	// orderTimeout bounds an order. Loading weights takes minutes.
	orderTimeout = 10 * time.Minute
	// stateTimeout bounds a read of the state.
	stateTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer of the engine.
	maxAnswerBytes = 1 << 20
)

// Actions of orders.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

var (
	// ErrFenced is returned if a later holder of the slot controls the engine.
	ErrFenced = errors.New("a later holder of the slot controls the engine")
	// ErrNotEffective is returned if the engine accepted an order but its state
	// does not reflect it.
	ErrNotEffective = errors.New("order did not take effect")
)

// Orders sends orders to one engine. It is safe for concurrent use; concurrent
// orders for one name are executed in any order.
type Orders struct {
	address string
	fence   uint64
	// checksFence is true if the engine checks the fencing number.
	checksFence bool
	client      *http.Client
}

// order is the body of the request that sends an order.
type order struct {
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
// with each order. With checksFence the engine itself refuses lower numbers.
func New(address string, fence uint64, checksFence bool) *Orders {
	return &Orders{
		address:     address,
		fence:       fence,
		checksFence: checksFence,
		client: &http.Client{Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		}},
	}
}

// Load makes the engine load and serve the model or the adapter.
func (o *Orders) Load(ctx context.Context, name string) error {
	return o.execute(ctx, actionLoad, name)
}

// Unload makes the engine unload the model or the adapter.
func (o *Orders) Unload(ctx context.Context, name string) error {
	return o.execute(ctx, actionUnload, name)
}

// SetRole changes the engine's role.
func (o *Orders) SetRole(ctx context.Context, name string) error {
	return o.execute(ctx, actionRole, name)
}

func (o *Orders) execute(ctx context.Context, action, name string) error {
	wanted := order{Fence: o.fence, Action: action, Name: name}
	if o.checksFence {
		return o.send(ctx, wanted)
	}
	before, err := o.read(ctx)
	switch {
	case err != nil:
		return err
	case before.Fence > o.fence:
		return errors.Wrapf(ErrFenced, "fencing number %d at engine %s", before.Fence, o.address)
	case before.reflects(wanted):
		return nil
	}
	if err := o.send(ctx, wanted); err != nil {
		return err
	}
	return o.verify(ctx, wanted)
}

func (o *Orders) verify(ctx context.Context, wanted order) error {
	after, err := o.read(ctx)
	switch {
	case err != nil:
		return err
	case after.Fence > o.fence:
		return errors.Wrapf(ErrFenced, "fencing number %d at engine %s", after.Fence, o.address)
	case !after.reflects(wanted):
		return errors.Wrapf(ErrNotEffective, "%s %s at engine %s", wanted.Action, wanted.Name, o.address)
	}
	return nil
}

// reflects reports whether the state is the result of the order.
func (s *state) reflects(wanted order) bool {
	switch wanted.Action {
	case actionLoad:
		return slices.Contains(s.Models, wanted.Name)
	case actionUnload:
		return !slices.Contains(s.Models, wanted.Name)
	}
	return s.Role == wanted.Name
}

func (o *Orders) send(ctx context.Context, wanted order) error {
	body, err := json.Marshal(wanted)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, answer, err := o.call(ctx, http.MethodPost, bytes.NewReader(body))
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return errors.Wrapf(ErrFenced, "%s %s at engine %s", wanted.Action, wanted.Name, o.address)
	case status >= http.StatusMultipleChoices:
		return errors.Newf("%s %s at engine %s: status %d: %s", wanted.Action, wanted.Name, o.address, status, answer)
	}
	return nil
}

func (o *Orders) read(ctx context.Context) (*state, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	status, answer, err := o.call(ctx, http.MethodGet, http.NoBody)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Newf("read state of engine %s: status %d", o.address, status)
	}
	s := new(state)
	return s, errors.Wrapf(json.Unmarshal(answer, s), "decode state of engine %s", o.address)
}

func (o *Orders) call(ctx context.Context, method string, body io.Reader) (status int, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+"/orders", body)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "create request for engine %s", o.address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "send request to engine %s", o.address)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, answer, errors.Wrapf(err, "read answer of engine %s", o.address)
}
