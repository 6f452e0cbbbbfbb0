package reporterclient

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/reporter"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
	"github.com/flamingohold/flamingohold/internal/process/router/reportersubset"
	"github.com/flamingohold/flamingohold/internal/process/turnqueue"
)

const (
	// scanInterval is the time between two scans of the directory for upstreams
	// that are new or removed.
	scanInterval = 50 * time.Millisecond
	// idleTimeout is how long a stream may be idle before it is closed.
	idleTimeout = 3 * reporter.HeartbeatInterval
	// minRetryDelay and maxRetryDelay bound the backoff after a lost connection.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// turnTimeout bounds the wait for a turn, after which the copy starts without
	// one.
	turnTimeout = 2500 * time.Millisecond
	// tryTimeout bounds the attempt to acquire a free turn, and the request for a
	// reservation.
	tryTimeout = 60 * time.Millisecond
	// followedAfterUse is how long after its last use an upstream is followed that is not
	// in this router's subset.
	followedAfterUse = 10 * time.Second
	// releaseTimeout bounds the calls that release a turn or a reservation, or share a
	// suspicion.
	releaseTimeout = 500 * time.Millisecond
	// maxRetryIn bounds what a reporter states as the time until a refused reservation
	// may be granted.
	maxRetryIn = 10 * time.Second
)

// errRefused is returned if the turn is held by another copy, or if there is no room for
// a reservation.
var errRefused = errors.New("the reporter refused the request")

// Client is a client of reporters. It is safe for concurrent use.
type Client struct {
	pool      *upstreamclient.Pool
	directory *directory.Directory
	// router is the address of this router, and dataCentre its data centre.
	router, dataCentre string
	// hasReporters reports whether the upstreams of the service have reporters.
	hasReporters func(service string) bool
	port         int
	log          *eventlog.Log
	clock        func() time.Time

	mu sync.Mutex
	// streams holds the function that ends the stream of each upstream, by stream
	// key.
	streams map[string]context.CancelFunc
	// connected holds the IDs of the upstreams whose reporter responds.
	connected map[string]bool
	// suspicions holds the latest count of suspicions from each reporter, by
	// upstream ID.
	suspicions map[string]int
	// usedAt holds when this router last had work in progress at each upstream, by
	// upstream ID.
	usedAt map[string]time.Time
}

// Options are the dependencies of a client.
type Options struct {
	Pool      *upstreamclient.Pool
	Directory *directory.Directory
	// Router is the address of this router, and DataCentre its data centre. They decide
	// which reporters are followed.
	Router, DataCentre string
	// HasReporters reports whether the upstreams of the service have reporters.
	HasReporters func(service string) bool
	// Port is the port on which all reporters listen.
	Port  int
	Log   *eventlog.Log
	Clock func() time.Time
}

// New returns a client without streams.
func New(o Options) *Client {
	return &Client{
		pool: o.Pool, directory: o.Directory, router: o.Router, dataCentre: o.DataCentre, hasReporters: o.HasReporters,
		port: o.Port, log: o.Log, clock: o.Clock, streams: make(map[string]context.CancelFunc),
		connected: make(map[string]bool), suspicions: make(map[string]int), usedAt: make(map[string]time.Time),
	}
}

// Run streams the reports of this router's subset of the upstreams in the directory
// until the context ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		c.updateStreams(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateStreams starts the streams of upstreams that are new to the subset, and ends the
// streams of those that have left it.
func (c *Client) updateStreams(ctx context.Context) {
	present := make(map[string]bool)
	for _, v := range c.followed(c.clock()) {
		key := streamKey(v)
		present[key] = true
		c.mu.Lock()
		if c.streams[key] == nil {
			streamCtx, cancel := context.WithCancel(ctx)
			c.streams[key] = cancel
			go c.follow(streamCtx, v)
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, cancel := range c.streams {
		if !present[key] {
			cancel()
			delete(c.streams, key)
			delete(c.suspicions, upstreamID(key))
			delete(c.usedAt, upstreamID(key))
		}
	}
}

// followed returns the upstreams whose reporters this router follows.
func (c *Client) followed(now time.Time) []directory.View {
	var views []directory.View
	var upstreams []reportersubset.Upstream
	for _, v := range c.directory.All(now) {
		if v.Removed || !c.hasReporters(v.Service) {
			continue
		}
		views = append(views, v)
		upstreams = append(upstreams, reportersubset.Upstream{ID: v.ID, DataCentre: v.DataCentre, InUse: c.isInUse(v, now)})
	}
	subset := reportersubset.Choose(c.router, c.dataCentre, upstreams)
	return slices.DeleteFunc(views, func(v directory.View) bool { return !subset[v.ID] })
}

// isInUse reports whether this router has, or had a short time ago, work in progress at
// the upstream.
func (c *Client) isInUse(v directory.View, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Calls > 0 {
		c.usedAt[v.ID] = now
		return true
	}
	usedAt, used := c.usedAt[v.ID]
	if used && now.Sub(usedAt) > followedAfterUse {
		delete(c.usedAt, v.ID)
		return false
	}
	return used
}

// streamKey identifies the upstream at its address.
func streamKey(v directory.View) string { return v.ID + "@" + v.Address }

func upstreamID(key string) string {
	id, _, _ := strings.Cut(key, "@")
	return id
}

// reporterAddress returns the address of the upstream's reporter, empty if the
// upstream's address is invalid.
func (c *Client) reporterAddress(upstream string) string {
	host, _, err := net.SplitHostPort(upstream)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(c.port))
}

// follow reads the reports of one upstream, and reconnects, until the context
// ends.
func (c *Client) follow(ctx context.Context, v directory.View) {
	retry := minRetryDelay
	defer c.setConnected(v, false)
	for ctx.Err() == nil {
		start := c.clock()
		err := c.read(ctx, v)
		if ctx.Err() != nil {
			return
		}
		c.recordLoss(v, err)
		if c.clock().Sub(start) > maxRetryDelay {
			retry = minRetryDelay
		}
		if !pause.For(ctx, retry) {
			return
		}
		retry = min(maxRetryDelay, 2*retry)
	}
}

// read reads one stream of reports until it ends.
func (c *Client) read(ctx context.Context, v directory.View) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(idleTimeout, cancel)
	defer watchdog.Stop()
	address := c.reporterAddress(v.Address)
	response, err := c.pool.Send(ctx, address, &upstreamclient.Request{
		Method: http.MethodGet, Target: reporter.ReportsPath, Host: address, Header: http.Header{},
	})
	if err != nil {
		return err
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		return errors.Newf("reporter %s answered with status %d", address, response.Status)
	}
	scanner := bufio.NewScanner(response)
	var line reporter.Line
	for scanner.Scan() {
		watchdog.Reset(idleTimeout)
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return errors.Wrapf(err, "decode report of %s", address)
		}
		c.apply(v, line)
	}
	return errors.Wrapf(scanner.Err(), "read reports of %s", address)
}

func (c *Client) apply(v directory.View, line reporter.Line) {
	if line.Unreachable {
		c.directory.MarkUnreachable(v.ID, c.clock())
		return
	}
	c.directory.ObserveReport(v.ID, line.Report(), c.clock())
	if c.hasNewSuspicion(v, line.Suspicions) {
		c.directory.MarkSuspectByPeer(v.ID, c.clock())
	}
	c.setConnected(v, true)
}

// hasNewSuspicion reports whether a router has started to suspect the upstream
// since the previous line. The count of a reporter's first line is ignored, as
// it may be old.
func (c *Client) hasNewSuspicion(v directory.View, suspicions int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.suspicions[v.ID]
	c.suspicions[v.ID] = suspicions
	return c.connected[v.ID] && suspicions > previous
}

// ShareSuspect notifies the upstream's reporter that this process suspects the
// upstream. The reporter passes this on to all routers.
func (c *Client) ShareSuspect(id string) {
	v, known := c.directory.Upstream(id, c.clock())
	if !known || !c.isConnected(v) {
		return
	}
	go c.sendSuspect(v)
}

func (c *Client) sendSuspect(v directory.View) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := c.post(ctx, c.reporterAddress(v.Address), reporter.SuspicionPath, turnqueue.Request{}); err != nil {
		c.log.Emit(eventlog.SuspicionNotShared).Str("upstream", v.ID).Err(err).Send()
	}
}

func (c *Client) setConnected(v directory.View, connected bool) {
	c.mu.Lock()
	previous := c.connected[v.ID]
	if connected {
		c.connected[v.ID] = true
	} else {
		delete(c.connected, v.ID)
	}
	c.mu.Unlock()
	if connected && !previous {
		c.log.Emit(eventlog.ReportsRegained).Str("upstream", v.ID).Send()
	}
}

func (c *Client) recordLoss(v directory.View, err error) {
	c.mu.Lock()
	previous := c.connected[v.ID]
	delete(c.connected, v.ID)
	c.mu.Unlock()
	if previous {
		c.log.Emit(eventlog.ReportsLost).Str("upstream", v.ID).Err(err).Send()
	}
}

// Acquire implements relocation.Turns. If the reporter does not answer, the copy
// starts without a turn.
func (c *Client) Acquire(ctx context.Context, source directory.View, id string, priority float64) func() {
	if !c.isConnected(source) {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	turn := turnqueue.Request{ID: id, Priority: priority}
	if _, err := c.post(ctx, c.reporterAddress(source.Address), reporter.AcquirePath, turn); err != nil {
		c.log.Emit(eventlog.TurnNotGranted).Str("request_id", id).Str("upstream", source.ID).Err(err).Send()
		return func() {}
	}
	return func() { c.release(source, turn) }
}

// TryAcquire implements relocation.Turns. If the reporter does not answer, the
// turn counts as free.
func (c *Client) TryAcquire(ctx context.Context, target directory.View, id string) (func(), bool) {
	if !c.isConnected(target) {
		return func() {}, true
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	turn := turnqueue.Request{ID: id}
	switch _, err := c.post(ctx, c.reporterAddress(target.Address), reporter.TryAcquirePath, turn); {
	case err == nil:
		return func() { c.release(target, turn) }, true
	case errors.Is(err, errRefused):
		return func() {}, false
	default:
		return func() {}, true
	}
}

func (c *Client) isConnected(v directory.View) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected[v.ID]
}

func (c *Client) release(source directory.View, turn turnqueue.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// A turn that is not released expires.
	_, _ = c.post(ctx, c.reporterAddress(source.Address), reporter.ReleasePath, turn)
}

// Reserve asks the upstream's reporter for room for a request. The request gets the
// concurrency limit of the view. If the reporter is not connected, does not answer in
// tryTimeout or gives an unexpected answer, the decision is granted and Unconfirmed; the
// reporter may have reserved nonetheless.
func (c *Client) Reserve(ctx context.Context, v directory.View, r reservation.Request) reservation.Decision {
	unconfirmed := reservation.Decision{Granted: true, Unconfirmed: true}
	if !c.isConnected(v) {
		return unconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	r.ConcurrencyLimit = v.ConcurrencyLimit
	content, err := c.post(ctx, c.reporterAddress(v.Address), reporter.ReservationsPath, r)
	refused := errors.Is(err, errRefused)
	if err != nil && !refused {
		return unconfirmed
	}
	var answer reporter.ReservationAnswer
	// Status 503 without a reason is not a reporter's refusal.
	if json.Unmarshal(content, &answer) != nil || refused && answer.Reason == "" {
		return unconfirmed
	}
	if !refused {
		return reservation.Decision{Granted: true, Unconfirmed: answer.Unconfirmed}
	}
	retryIn := min(maxRetryIn.Milliseconds(), max(0, answer.RetryInMillis))
	return reservation.Decision{Reason: answer.Reason, RetryIn: time.Duration(retryIn) * time.Millisecond}
}

// ReleaseReservation ends the reservation of a request that is not sent to the upstream
// or has not run there. It returns at once; a reservation that is not released expires.
func (c *Client) ReleaseReservation(v directory.View, id string) {
	if !c.isConnected(v) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_, _ = c.post(ctx, c.reporterAddress(v.Address), reporter.ReservationReleasePath, reservation.Request{ID: id})
	}()
}

// post sends the message as JSON and returns the content of the answer. The error is
// errRefused for an answer with status 503.
func (c *Client) post(ctx context.Context, address, path string, message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(err, "encode message for %s", path)
	}
	response, err := c.pool.Send(ctx, address, &upstreamclient.Request{
		Method: http.MethodPost, Target: path, Host: address, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		return nil, err
	}
	defer response.Close()
	content, err := response.Body(1 << 10)
	if err != nil {
		return nil, err
	}
	switch response.Status {
	case http.StatusOK:
		return content, nil
	case http.StatusServiceUnavailable:
		return content, errRefused
	default:
		return nil, errors.Newf("reporter %s answered with status %d", address, response.Status)
	}
}
