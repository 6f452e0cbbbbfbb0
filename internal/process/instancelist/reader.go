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

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/pause"
)

const (
	// waitTime is how long the service holds a read without a change. Each answer
	// is the whole list: 1,400 instances, 0.34 MB, cost 6 KB/s of a node's
	// 20 KB/s for control at 60 s and 11 KB/s at 30 s.
	waitTime = 60 * time.Second
	// readSlack bounds one read besides the wait.
	readSlack   = 5 * time.Second
	dialTimeout = 2 * time.Second
	// keepAlive and keepAliveProbes end a read after 4 s whose connection a device
	// between the two ends has lost track of. Without them it would end only after
	// waitTime, and a leaving instance could go unnoticed for longer than 5 s.
	keepAlive       = time.Second
	keepAliveProbes = 3
	firstRetry      = 500 * time.Millisecond
	lastRetry       = 15 * time.Second
	// maxListBytes bounds one answer. 1,400 instances take 0.34 MB.
	maxListBytes = 8 << 20
	// pauseBytesPerSecond and the pauses space the reads: while many instances
	// change, a large list is read every 3 s rather than at each change.
	pauseBytesPerSecond = 128 << 10
	minPause            = 250 * time.Millisecond
	maxPause            = 3 * time.Second
)

// errMalformed is the cause of a refused answer.
var errMalformed = errors.New("malformed instance list")

// list is the answer to GET /v1/instances.
type list struct {
	Index     uint64              `json:"index"`
	Instances []instance.Instance `json:"instances"`
	// bytes is the size of the answer.
	bytes int
}

// Reader follows the instance list at one address.
type Reader struct {
	address string
	client  *http.Client
	log     *eventlog.Log
	deliver func([]instance.Instance, time.Time)
	// delivered is true once a list with instances was delivered.
	delivered bool
	// wait, retry and pause are changed by tests only.
	wait, retry, pause time.Duration
}

// New returns a reader that gives each list to the function, in the order of
// the answers. While the service fails, the function is not called, so that the
// last list stays in use.
func New(address string, log *eventlog.Log, deliver func([]instance.Instance, time.Time)) *Reader {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
	}}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &Reader{
		address: address,
		client:  &http.Client{Transport: transport},
		log:     log,
		deliver: deliver,
		wait:    waitTime,
		retry:   firstRetry,
		pause:   minPause,
	}
}

// Read returns the list at the address as it is now.
func Read(ctx context.Context, address string) ([]instance.Instance, error) {
	r := New(address, eventlog.Discard(), nil)
	defer r.client.CloseIdleConnections()
	l, err := r.read(ctx, 0)
	return l.Instances, err
}

// Run follows the list until the context ends, and returns nil then.
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
		reachable = r.noteReachable(reachable, err)
		if err != nil || (index == 0 || l.Index != index) && !r.accept(l) {
			// After a failure the whole list is read, because a restarted service
			// may count from the beginning.
			index = 0
			pause.For(ctx, jitter(retry))
			retry = min(2*retry, lastRetry)
			continue
		}
		index, retry = l.Index, r.retry
		pause.For(ctx, r.spacing(l.bytes))
	}
	return nil
}

// accept delivers a changed list unless it lost all instances: that is a fault of the
// service far more often than the end of a fleet, and would stop all work.
func (r *Reader) accept(l list) bool {
	if len(l.Instances) == 0 && r.delivered {
		r.refuse(errors.Wrap(errMalformed, "no instance is left"))
		return false
	}
	r.delivered = len(l.Instances) > 0
	r.deliver(l.Instances, time.Now())
	return true
}

func (r *Reader) read(ctx context.Context, index uint64) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, r.wait+readSlack)
	defer cancel()
	address := fmt.Sprintf("http://%s/v1/instances?index=%d&wait=%s", r.address, index, r.wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return list{}, errors.Wrapf(err, "address instance list %s", r.address)
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

// decode returns the list of an answer. Its errors are errMalformed.
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

// noteReachable logs a change and returns the new state.
func (r *Reader) noteReachable(before bool, err error) bool {
	if errors.Is(err, errMalformed) {
		r.refuse(err)
		return before
	}
	if before && err != nil {
		r.log.Emit(eventlog.InstanceListUnreachable).Str("peer", r.address).Err(err).Send()
	}
	if !before && err == nil {
		r.log.Emit(eventlog.InstanceListReachable).Str("peer", r.address).Send()
	}
	return err == nil
}

func (r *Reader) refuse(err error) {
	r.log.Emit(eventlog.InstanceListRefused).Str("peer", r.address).Err(err).Send()
}

// spacing returns the time to the next read after an answer of the size.
func (r *Reader) spacing(bytes int) time.Duration {
	pause := time.Duration(bytes) * time.Second / pauseBytesPerSecond
	return jitter(min(max(pause, r.pause), maxPause))
}

// jitter returns a random duration from 3/4 to 5/4 of the mean.
func jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(rand.Int64N(int64(mean/2)+1))
}
