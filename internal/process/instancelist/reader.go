package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/pause"
)

const (
	// longPollWait is how long the service holds a read without a change. Each
	// response is the complete list, 0.34 MB for 1,400 instances. Control traffic
	// of a node is limited to 20 KB/s; the list takes 6 KB/s of it with a wait of
	// 60 s and 11 KB/s with 30 s.
	longPollWait = 60 * time.Second
	// readMargin is the time that a read may take beyond the wait.
	readMargin  = 5 * time.Second
	dialTimeout = 2 * time.Second
	// keepAliveInterval and keepAliveProbes end a read after 4 s if a device
	// between the two ends has dropped the state of its connection. Without
	// keep-alive, the read would end only after longPollWait, and a leaving
	// instance could go unnoticed for longer than 5 s.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// minRetryDelay and maxRetryDelay bound the backoff after a failed read.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 15 * time.Second
	// maxListBytes bounds one response. 1,400 instances take 0.34 MB.
	maxListBytes = 8 << 20
	// maxReadBytesPerSecond, minReadPause and maxReadPause determine the pause
	// after a read. While many instances change, a large list is read every 3 s
	// instead of at each change.
	maxReadBytesPerSecond = 128 << 10
	minReadPause          = 250 * time.Millisecond
	maxReadPause          = 3 * time.Second
)

// errMalformed is the error of a response that is not a valid list.
var errMalformed = errors.New("malformed instance list")

// list is the body of the response to GET /v1/instances.
type list struct {
	Index     uint64              `json:"index"`
	Instances []instance.Instance `json:"instances"`
	// bytes is the size of the response body.
	bytes int
}

// Reader follows the instance list at one address.
type Reader struct {
	address string
	client  *http.Client
	log     *eventlog.Log
	deliver func([]instance.Instance, time.Time)
	// delivered is true if the last delivered list had instances.
	delivered bool
	// wait, retry and pause are the values of longPollWait, minRetryDelay and
	// minReadPause; only tests change them.
	wait, retry, pause time.Duration
}

// New returns a reader that calls deliver with each list, in the order of the
// responses. While the service fails, deliver is not called, so that the last
// list stays in use.
func New(address string, log *eventlog.Log, deliver func([]instance.Instance, time.Time)) *Reader {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	transport := &http.Transport{DialContext: answerhead.DialKept(dialer.DialContext)}
	return &Reader{
		address: address,
		client:  &http.Client{Transport: transport},
		log:     log,
		deliver: deliver,
		wait:    longPollWait,
		retry:   minRetryDelay,
		pause:   minReadPause,
	}
}

// Read returns the current list of the service at the address.
func Read(ctx context.Context, address string) ([]instance.Instance, error) {
	r := New(address, eventlog.Discard(), nil)
	defer r.client.CloseIdleConnections()
	l, err := r.read(ctx, 0)
	return l.Instances, err
}

// Run follows the list until the context ends, and then returns nil.
func (r *Reader) Run(ctx context.Context) error {
	defer r.client.CloseIdleConnections()
	var index uint64
	retry := r.retry
	reachable := true
	for ctx.Err() == nil {
		l, err := r.read(ctx, index)
		if ctx.Err() != nil {
			return nil
		}
		reachable = r.logReachability(reachable, err)
		if err != nil || (index == 0 || l.Index != index) && !r.accept(l) {
			// After a failure the list is read without an index, because a restarted
			// service may count its index from the beginning.
			index = 0
			pause.For(ctx, jitter(retry))
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		index, retry = l.Index, r.retry
		pause.For(ctx, r.pauseAfter(l.bytes))
	}
	return nil
}

// accept delivers a changed list. It refuses an empty list after one with
// instances, because that is a fault of the service far more often than the end
// of a fleet, and would stop all work.
func (r *Reader) accept(l list) bool {
	if len(l.Instances) == 0 && r.delivered {
		r.logRefused(errors.Wrap(errMalformed, "the list is empty after a list with instances"))
		return false
	}
	r.delivered = len(l.Instances) > 0
	r.deliver(l.Instances, time.Now())
	return true
}

func (r *Reader) read(ctx context.Context, index uint64) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, r.wait+readMargin)
	defer cancel()
	address := fmt.Sprintf("http://%s/v1/instances?index=%d&wait=%s", r.address, index, r.wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return list{}, errors.Wrapf(err, "create request for instance list from %s", r.address)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return list{}, errors.Wrapf(err, "read instance list from %s", r.address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return list{}, errors.Newf("read instance list from %s: status %d", r.address, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return list{}, errors.Wrapf(err, "read instance list from %s", r.address)
	}
	return decode(body)
}

// decode decodes the body of a response. Its errors wrap errMalformed.
func decode(body []byte) (list, error) {
	l := list{bytes: len(body)}
	if len(body) > maxListBytes {
		return l, errors.Wrapf(errMalformed, "more than %d bytes", maxListBytes)
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, errors.Wrapf(errMalformed, "decode: %v", err)
	}
	for _, i := range l.Instances {
		if i.Name == "" || i.Service == "" {
			return l, errors.Wrap(errMalformed, "an instance has no name or service")
		}
		if i.State != instance.StateLive && i.State != instance.StateLeaving {
			return l, errors.Wrapf(errMalformed, "instance %.64q has state %.64q", i.Name, i.State)
		}
	}
	return l, nil
}

// logReachability logs a change of whether the service is reachable, and
// returns the new state.
func (r *Reader) logReachability(previous bool, err error) bool {
	if errors.Is(err, errMalformed) {
		r.logRefused(err)
		return previous
	}
	if previous && err != nil {
		r.log.Emit(eventlog.InstanceListUnreachable).Str("peer", r.address).Err(err).Send()
	}
	if !previous && err == nil {
		r.log.Emit(eventlog.InstanceListReachable).Str("peer", r.address).Send()
	}
	return err == nil
}

func (r *Reader) logRefused(err error) {
	r.log.Emit(eventlog.InstanceListRefused).Str("peer", r.address).Err(err).Send()
}

// pauseAfter returns the pause before the next read, after a response of the
// given size.
func (r *Reader) pauseAfter(bytes int) time.Duration {
	pause := time.Duration(bytes) * time.Second / maxReadBytesPerSecond
	return jitter(min(max(pause, r.pause), maxReadPause))
}

// jitter returns a random duration from 3/4 to 5/4 of the mean.
func jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(rand.Int64N(int64(mean/2)+1))
}
