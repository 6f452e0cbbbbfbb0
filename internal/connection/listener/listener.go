package listener

import (
	"context"
	"encoding/base64"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/flamingohold/flamingohold/internal/connection/stream"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// maxHeaderBytes bounds the request line and the header together.
	maxHeaderBytes = 64 << 10
	// maxWriteBufferBytes is a last bound on the unsent data of a connection,
	// above which the library closes it. The stream writer waits well below it.
	maxWriteBufferBytes = 4 << 20
	// sweepInterval is the time between two looks at the busy connections, and
	// every idleSweep-th look includes the idle ones.
	sweepInterval = 20 * time.Millisecond
	idleSweep     = 50
	// pollers is the number of goroutines that read requests. One is enough,
	// because the handlers' goroutines write the answers, and awaitPoller relies
	// on there being one.
	pollers = 1
	// libraryIdleTimeout keeps the library from closing idle connections, which
	// the sweep does.
	libraryIdleTimeout = 10 * 365 * 24 * time.Hour
	// defaultReceiveTimeout bounds the time to receive one request.
	defaultReceiveTimeout = 30 * time.Second
	defaultIdleTimeout    = 120 * time.Second
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxConnections = 20_000
	// peerMessageBytes is the room for the other fields of a peer message.
	peerMessageBytes = 1 << 20
)

// Options are the limits that protect a listener from its callers. A limit of 0
// selects a default.
type Options struct {
	// Address is "ip:port"; port 0 selects a free one.
	Address string
	// MaxBodyBytes bounds a request body, by default 8 MiB.
	MaxBodyBytes int
	// MaxConnections bounds the open connections, by default 20,000.
	MaxConnections int
	// IdleTimeout closes a connection without a request, and one whose caller
	// takes nothing of a waiting answer, by default after 120 s.
	IdleTimeout time.Duration
	// ReceiveTimeout closes a connection whose request has not arrived whole
	// this long after its first byte, by default 30 s.
	ReceiveTimeout time.Duration
	// Limits returns limits that change while the listener serves; nil, and a
	// limit of 0, leave those above.
	Limits func() Limits
	// Panicked is told of a panic of the handler; nil ignores it.
	Panicked func(value any, stack []byte)
}

// Limits are the bounds on one connection that may change.
type Limits struct {
	// MaxHeaderBytes bounds the request line and the header.
	MaxHeaderBytes int
	// HeaderTimeout closes a connection whose request header has not arrived
	// whole this long after its first byte; 0 leaves it to ReceiveTimeout.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	ReceiveTimeout time.Duration
}

// limits returns the limits in force.
func (o *Options) limits() Limits {
	l := Limits{MaxHeaderBytes: maxHeaderBytes, IdleTimeout: o.IdleTimeout, ReceiveTimeout: o.ReceiveTimeout}
	if o.Limits == nil {
		return l
	}
	changed := o.Limits()
	if changed.MaxHeaderBytes > 0 {
		l.MaxHeaderBytes = changed.MaxHeaderBytes
	}
	l.HeaderTimeout = changed.HeaderTimeout
	if changed.IdleTimeout > 0 {
		l.IdleTimeout = changed.IdleTimeout
	}
	if changed.ReceiveTimeout > 0 {
		l.ReceiveTimeout = changed.ReceiveTimeout
	}
	return l
}

// FromSettings returns the options for the address with the process's limits.
// On the peer address, a message may hold a request body of the largest size in
// base64 besides its other fields.
func FromSettings(s *settings.Settings, address string) Options {
	maxBody := s.MaxBodyBytes
	if address == s.PeerAddress && maxBody > 0 {
		maxBody = base64.StdEncoding.EncodedLen(maxBody) + peerMessageBytes
	}
	return Options{
		Address:        address,
		MaxBodyBytes:   maxBody,
		MaxConnections: s.MaxConnections,
		IdleTimeout:    time.Duration(s.IdleTimeoutMillis) * time.Millisecond,
	}
}

func (o Options) withDefaults() Options {
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.ReceiveTimeout <= 0 {
		o.ReceiveTimeout = defaultReceiveTimeout
	}
	if o.Panicked == nil {
		o.Panicked = func(any, []byte) {}
	}
	return o
}

// Listener accepts connections and serves their requests.
type Listener struct {
	options Options
	handler http.Handler
	engine  *nbhttp.Engine
	socket  *socket
	// stopped is closed when the sweep must end.
	stopped chan struct{}
	swept   sync.WaitGroup

	mu sync.Mutex
	// open holds all connections.
	open map[*nbio.Conn]*connection
	// busy holds the connections that receive a request, serve one, or have
	// unsent data.
	busy map[*connection]struct{}
	// closing is true once connections are to close after their next answer.
	closing bool
	// shutDown is true once Shutdown has begun.
	shutDown bool
}

var quietLibrary sync.Once

// New starts to serve. The handler's writer is a *stream.Writer, and the
// context of its request is cancelled when the caller disconnects. The handler
// must not use the request's body after it has returned.
func New(options Options, handler http.Handler) (*Listener, error) {
	// The library prints to standard output what the listener handles itself.
	quietLibrary.Do(func() { logging.SetLevel(logging.LevelNone) })
	inner, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", options.Address)
	}
	l := &Listener{
		options: options.withDefaults(),
		handler: handler,
		socket:  &socket{Listener: inner, closed: make(chan struct{})},
		stopped: make(chan struct{}),
		open:    make(map[*nbio.Conn]*connection),
		busy:    make(map[*connection]struct{}),
	}
	l.engine = nbhttp.NewEngine(l.engineConfig())
	l.engine.OnData(l.receive)
	l.engine.OnWrittenSize(written)
	l.engine.OnOpen(l.opened)
	l.engine.OnClose(l.closed)
	if err := l.engine.Start(); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "serve on %s", options.Address), l.socket.Close())
	}
	if err := awaitPoller(l.engine.Engine); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "serve on %s", options.Address), l.socket.Close())
	}
	l.swept.Add(1)
	go l.sweep()
	return l, nil
}

func (l *Listener) engineConfig() nbhttp.Config {
	return nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{l.options.Address},
		Listen:             func(string, string) (net.Listener, error) { return l.socket, nil },
		NPoller:            pollers,
		MaxLoad:            l.options.MaxConnections,
		ReadLimit:          l.options.MaxBodyBytes + maxHeaderBytes,
		MaxHTTPBodySize:    l.options.MaxBodyBytes,
		MaxWriteBufferSize: maxWriteBufferBytes,
		KeepaliveTime:      libraryIdleTimeout,
		IOMod:              nbhttp.IOModNonBlocking,
		Handler:            http.HandlerFunc(l.serve),
		SupportServerOnly:  true,
		// A pool of fixed size would let long answers block short ones.
		ServerExecutor: func(f func()) { go f() },
	}
}

// Address returns the "ip:port" on which the listener accepts.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// CloseAfterAnswers makes each further answer the last one of its connection.
// New connections are still accepted.
func (l *Listener) CloseAfterAnswers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
}

// Shutdown stops accepting connections, lets running requests end and their
// answers reach the callers, and closes all connections. If the context ends
// first, it closes them at once and returns the context's error.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	again := l.shutDown
	l.shutDown, l.closing = true, true
	l.mu.Unlock()
	if again {
		return errors.New("listener is already shut down")
	}
	l.socket.stopAccepting()
	err := l.waitUntilIdle(ctx)
	close(l.stopped)
	l.swept.Wait()
	l.engine.Stop()
	return err
}

func (l *Listener) waitUntilIdle(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for l.busyCount() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (l *Listener) busyCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.busy)
}

func (l *Listener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// receive handles data from a caller; the library calls it for one connection
// from one goroutine at a time.
func (l *Listener) receive(socket *nbio.Conn, data []byte) {
	parser, ok := socket.Session().(*nbhttp.Parser)
	if !ok {
		socket.DataHandler()(socket, data)
		return
	}
	c, ok := parser.Conn.(*connection)
	if !ok {
		if c = l.connection(socket); c == nil {
			_ = socket.Close()
			return
		}
		c.Conn = parser.Conn
		parser.Processor = &processor{Processor: parser.Processor, connection: c, maxBody: int64(l.options.MaxBodyBytes)}
		parser.Conn = c
	}
	if !c.beginReceiving(time.Now()) {
		return
	}
	l.markBusy(c)
	if err := parser.Parse(data); err != nil {
		c.refuse(refusalFor(err))
	}
	c.sendRefusal(time.Now())
}

func (l *Listener) markBusy(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy[c] = struct{}{}
}

// opened is called before the first data of a connection.
func (l *Listener) opened(accepted net.Conn) {
	socket, ok := accepted.(*nbio.Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[socket] = newConnection(l, socket, time.Now())
}

func (l *Listener) connection(socket *nbio.Conn) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[socket]
}

// closed is called after the last handler of a closed connection.
func (l *Listener) closed(ended net.Conn, _ error) {
	socket, ok := ended.(*nbio.Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.open[socket]; c != nil {
		c.finish()
	}
	delete(l.open, socket)
}

// serve runs the handler with a writer that protects it from the library.
func (l *Listener) serve(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c, ok := response.Parser.Conn.(*connection)
	if !ok {
		return
	}
	if l.isClosing() {
		r.Close = true
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c.setCancel(cancel)
	s := stream.NewWithConnection(w, r.Method, c)
	defer l.recoverPanic(s, c)
	l.handler.ServeHTTP(s, r.WithContext(ctx))
}

// recoverPanic ends the answer of a handler that panicked. If a part of it has
// been written, the connection is closed, so that the caller cannot take the
// part for the whole.
func (l *Listener) recoverPanic(w *stream.Writer, c *connection) {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler { //nolint:errorlint // net/http documents the value itself
		l.options.Panicked(value, debug.Stack())
	}
	if w.Started() || value == http.ErrAbortHandler { //nolint:errorlint // see above
		_ = c.socket.Close()
		return
	}
	failure := problem.Unknown("internal_error", "the handler of the request failed")
	_ = failure.WithStatus(http.StatusInternalServerError).Write(w)
}

// sweep looks at the busy connections until the listener stops.
func (l *Listener) sweep() {
	defer l.swept.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-l.stopped:
			return
		case now := <-ticker.C:
			l.sweepBusy(now)
			if n%idleSweep == 0 {
				l.sweepOpen(now)
			}
		}
	}
}

func (l *Listener) sweepBusy(now time.Time) {
	idleTimeout := l.options.limits().IdleTimeout
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.busy {
		if !c.inspect(now, idleTimeout) {
			delete(l.busy, c)
		}
	}
}

func (l *Listener) sweepOpen(now time.Time) {
	idleTimeout := l.options.limits().IdleTimeout
	l.mu.Lock()
	defer l.mu.Unlock()
	for socket, c := range l.open {
		if !c.inspect(now, idleTimeout) && c.Closed() && !c.serving() {
			delete(l.open, socket)
		}
	}
}
