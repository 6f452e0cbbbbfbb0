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
	// stateTimeout bounds a look at the state.
	stateTimeout  = 5 * time.Second
	maxStateBytes = 1 << 20
)

// Actions of orders.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

var (
	// ErrFenced is returned if a later holder of the slot commands the engine.
	ErrFenced = errors.New("a later holder of the slot commands the engine")
	// ErrNotEffective is returned if the engine accepted an order that its state
	// does not show.
	ErrNotEffective = errors.New("order did not take effect")
)

// Orders gives orders to one engine. It is safe for concurrent use; concurrent
// orders for one name are not ordered.
type Orders struct {
	address string
	fence   uint64
	// checked is true if the engine checks the fencing number.
	checked bool
	client  *http.Client
}

// order is the body of an order.
type order struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Name   string `json:"name"`
}

// state is an engine's account of the orders.
type state struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// New returns the orders for the engine at "ip:port" with the fencing number.
// Checked states that the engine refuses an old number.
func New(address string, fence uint64, checked bool) *Orders {
	return &Orders{
		address: address,
		fence:   fence,
		checked: checked,
		client: &http.Client{Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		}},
	}
}

// Load makes the engine offer the model or the adapter.
func (o *Orders) Load(ctx context.Context, name string) error { return o.give(ctx, actionLoad, name) }

// Unload makes the engine give up the model or the adapter.
func (o *Orders) Unload(ctx context.Context, name string) error {
	return o.give(ctx, actionUnload, name)
}

// SetRole changes the engine's role.
func (o *Orders) SetRole(ctx context.Context, name string) error {
	return o.give(ctx, actionRole, name)
}

func (o *Orders) give(ctx context.Context, action, name string) error {
	wanted := order{Fence: o.fence, Action: action, Name: name}
	if o.checked {
		return o.send(ctx, wanted)
	}
	before, err := o.read(ctx)
	switch {
	case err != nil:
		return err
	case before.Fence > o.fence:
		return errors.Wrapf(ErrFenced, "number %d at engine %s", before.Fence, o.address)
	case before.shows(wanted):
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
		return errors.Wrapf(ErrFenced, "number %d at engine %s", after.Fence, o.address)
	case !after.shows(wanted):
		return errors.Wrapf(ErrNotEffective, "%s %s at engine %s", wanted.Action, wanted.Name, o.address)
	}
	return nil
}

// shows reports whether the effect of the order holds.
func (s *state) shows(wanted order) bool {
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
		return nil, errors.Newf("read orders of engine %s: status %d", o.address, status)
	}
	s := new(state)
	return s, errors.Wrapf(json.Unmarshal(answer, s), "read orders of engine %s", o.address)
}

func (o *Orders) call(ctx context.Context, method string, body io.Reader) (status int, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+"/orders", body)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "address engine %s", o.address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "order at engine %s", o.address)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	return response.StatusCode, answer, errors.Wrapf(err, "order at engine %s", o.address)
}
