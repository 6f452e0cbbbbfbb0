package reportfeed

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/exchange"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/reporter"
	"github.com/flamingohold/flamingohold/internal/process/turnqueue"
)

const (
	// scanInterval is the time between two looks at the list of upstreams.
	scanInterval = 50 * time.Millisecond
	// silence is how long a reporter may be silent before its connection is
	// given up.
	silence = 3 * reporter.HeartbeatInterval
	// firstRetry and lastRetry bound the pause after a lost connection.
	firstRetry = 250 * time.Millisecond
	lastRetry  = 2 * time.Second
	// turnTimeout bounds the wait for a turn; then the copy begins without one.
	turnTimeout = 2500 * time.Millisecond
	// tryTimeout bounds the question whether a turn is free.
	tryTimeout = 60 * time.Millisecond
	// releaseTimeout bounds the message that ends a turn.
	releaseTimeout = 500 * time.Millisecond
)

// errTaken is returned if another router has the turn.
var errTaken = errors.New("another copy has the turn")

// Feed follows the reporters. It is safe for concurrent use.
type Feed struct {
	pool      *exchange.Pool
	directory *directory.Directory
	// reported returns whether upstreams of the service have reporters.
	reported func(service string) bool
	port     int
	log      *eventlog.Log
	clock    func() time.Time

	mu sync.Mutex
	// followed holds what ends the stream of each upstream.
	followed map[string]context.CancelFunc
	// heard holds the upstreams whose reporter answers.
	heard map[string]bool
	// doubts holds the number of doubts that each reporter counted last.
	doubts map[string]int
}

// New returns a feed that follows nobody yet. The port is that of the reporters
// on their machines.
func New(pool *exchange.Pool, d *directory.Directory, reported func(service string) bool, port int, log *eventlog.Log, clock func() time.Time) *Feed {
	return &Feed{
		pool: pool, directory: d, reported: reported, port: port, log: log, clock: clock,
		followed: make(map[string]context.CancelFunc), heard: make(map[string]bool), doubts: make(map[string]int),
	}
}

// Run follows the reporters of all upstreams in the directory until the context
// ends.
func (f *Feed) Run(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		f.scan(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// scan begins to follow new upstreams and leaves those that are gone.
func (f *Feed) scan(ctx context.Context) {
	present := make(map[string]bool)
	for _, v := range f.directory.All(f.clock()) {
		if v.Gone || !f.reported(v.Service) {
			continue
		}
		key := keyOf(v)
		present[key] = true
		f.mu.Lock()
		if f.followed[key] == nil {
			life, cancel := context.WithCancel(ctx)
			f.followed[key] = cancel
			go f.follow(life, v)
		}
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, cancel := range f.followed {
		if !present[key] {
			cancel()
			delete(f.followed, key)
			delete(f.doubts, upstreamOf(key))
		}
	}
}

// keyOf names the upstream at its address.
func keyOf(v directory.View) string { return v.ID + "@" + v.Address }

func upstreamOf(key string) string {
	id, _, _ := strings.Cut(key, "@")
	return id
}

// address returns that of the reporter beside the upstream, empty for none.
func (f *Feed) address(upstream string) string {
	host, _, err := net.SplitHostPort(upstream)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(f.port))
}

// follow reads the reports of one upstream until the context ends.
func (f *Feed) follow(ctx context.Context, v directory.View) {
	retry := firstRetry
	defer f.setHeard(v, false)
	for ctx.Err() == nil {
		began := f.clock()
		err := f.read(ctx, v)
		if ctx.Err() != nil {
			return
		}
		f.lost(v, err)
		if f.clock().Sub(began) > lastRetry {
			retry = firstRetry
		}
		if !pause.For(ctx, retry) {
			return
		}
		retry = min(lastRetry, 2*retry)
	}
}

// read reads one stream of reports to its end.
func (f *Feed) read(ctx context.Context, v directory.View) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	address := f.address(v.Address)
	answer, err := f.pool.Send(ctx, address, &exchange.Request{
		Method: http.MethodGet, Target: reporter.FeedPath, Host: address, Header: http.Header{},
	})
	if err != nil {
		return err
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		return errors.Newf("reporter %s answered %d", address, answer.Status)
	}
	scanner := bufio.NewScanner(answer)
	var line reporter.Line
	for scanner.Scan() {
		watchdog.Reset(silence)
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return errors.Wrapf(err, "decode report of %s", address)
		}
		f.take(v, line)
	}
	return errors.Wrapf(scanner.Err(), "read reports of %s", address)
}

func (f *Feed) take(v directory.View, line reporter.Line) {
	if line.Gone {
		f.directory.Unreachable(v.ID, f.clock())
		return
	}
	f.directory.Report(v.ID, line.Report(), f.clock())
	if f.newDoubt(v, line.Doubts) {
		f.directory.MarkSuspectByPeer(v.ID, f.clock())
	}
	f.setHeard(v, true)
}

// newDoubt reports whether a router has begun to doubt the upstream since the
// last line. The first line of a reporter tells of doubts of unknown age.
func (f *Feed) newDoubt(v directory.View, doubts int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.doubts[v.ID]
	f.doubts[v.ID] = doubts
	return f.heard[v.ID] && doubts > before
}

// ShareSuspect tells the reporter beside the upstream, and so all routers, that this
// process doubts it.
func (f *Feed) ShareSuspect(id string) {
	v, known := f.directory.Upstream(id, f.clock())
	if !known || !f.isHeard(v) {
		return
	}
	go f.sendDoubt(v)
}

func (f *Feed) sendDoubt(v directory.View) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := f.post(ctx, f.address(v.Address), reporter.DoubtPath, turnqueue.Request{}); err != nil {
		f.log.Emit(eventlog.DoubtNotShared).Str("upstream", v.ID).Err(err).Send()
	}
}

func (f *Feed) setHeard(v directory.View, heard bool) {
	f.mu.Lock()
	before := f.heard[v.ID]
	if heard {
		f.heard[v.ID] = true
	} else {
		delete(f.heard, v.ID)
	}
	f.mu.Unlock()
	if heard && !before {
		f.log.Emit(eventlog.ReportsRegained).Str("upstream", v.ID).Send()
	}
}

func (f *Feed) lost(v directory.View, err error) {
	f.mu.Lock()
	before := f.heard[v.ID]
	delete(f.heard, v.ID)
	f.mu.Unlock()
	if before {
		f.log.Emit(eventlog.ReportsLost).Str("upstream", v.ID).Err(err).Send()
	}
}

// Acquire implements relocation.Turns. Without an answer of the reporter, the
// copy begins without a turn.
func (f *Feed) Acquire(ctx context.Context, source directory.View, id string, worth float64) func() {
	if !f.isHeard(source) {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	turn := turnqueue.Request{ID: id, Priority: worth}
	if err := f.post(ctx, f.address(source.Address), reporter.AcquirePath, turn); err != nil {
		f.log.Emit(eventlog.TurnNotGranted).Str("request_id", id).Str("upstream", source.ID).Err(err).Send()
		return func() {}
	}
	return func() { f.release(source, turn) }
}

// TryAcquire implements relocation.Turns. A reporter that does not answer has
// no say.
func (f *Feed) TryAcquire(ctx context.Context, target directory.View, id string) (func(), bool) {
	if !f.isHeard(target) {
		return func() {}, true
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	turn := turnqueue.Request{ID: id}
	switch err := f.post(ctx, f.address(target.Address), reporter.TryAcquirePath, turn); {
	case err == nil:
		return func() { f.release(target, turn) }, true
	case errors.Is(err, errTaken):
		return func() {}, false
	default:
		return func() {}, true
	}
}

func (f *Feed) isHeard(v directory.View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard[v.ID]
}

func (f *Feed) release(source directory.View, turn turnqueue.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// A turn that is not given back ends by itself.
	_ = f.post(ctx, f.address(source.Address), reporter.ReleasePath, turn)
}

func (f *Feed) post(ctx context.Context, address, path string, turn turnqueue.Request) error {
	body, err := json.Marshal(turn)
	if err != nil {
		return errors.Wrap(err, "encode turn")
	}
	answer, err := f.pool.Send(ctx, address, &exchange.Request{
		Method: http.MethodPost, Target: path, Host: address, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		return err
	}
	defer answer.Close()
	if _, err := answer.Body(1 << 10); err != nil {
		return err
	}
	switch answer.Status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		return errTaken
	default:
		return errors.Newf("reporter %s answered %d", address, answer.Status)
	}
}
