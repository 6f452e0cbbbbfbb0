package listener

import (
	"context"
	"encoding/base64"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/flamingohold/flamingohold/internal/connection/bytemeter"
	"github.com/flamingohold/flamingohold/internal/connection/stream"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// maxHeaderBytes bounds the request line and the header together.
	maxHeaderBytes = 64 << 10
	// maxWriteBufferBytes bounds the unsent data of a connection; the library
	// closes a connection that exceeds it. The stream writer blocks well below it.
	maxWriteBufferBytes = 4 << 20
	// cancelPeriod is the time that Shutdown gives requests that it cancels to send
	// their responses.
	cancelPeriod = 100 * time.Millisecond
	// sweepInterval is the time between two sweeps of the busy connections. One in
	// sweepsPerIdleSweep sweeps includes the idle connections.
	sweepInterval      = 20 * time.Millisecond
	sweepsPerIdleSweep = 50
	// pollerCount is the number of goroutines that read requests. One is enough,
	// because the handlers' goroutines write the responses. The fence works only
	// with one.
	pollerCount = 1
	// libraryIdleTimeout prevents the library from closing idle connections; the
	// sweep closes them.
	libraryIdleTimeout = 10 * 365 * 24 * time.Hour
	// defaultReceiveTimeout bounds the time to receive one request.
	defaultReceiveTimeout   = 30 * time.Second
	defaultIdleTimeout      = 120 * time.Second
	defaultMaxBodyBytes     = 8 << 20
	defaultMaxConnections   = 20_000
	defaultMaxFields        = 4096
	defaultMaxEmptyLines    = 4
	defaultMaxPipelined     = 32
	defaultMaxReceivedBytes = 256 << 20
	defaultMaxUnsentBytes   = 128 << 20
	// receivedDivisor and unsentDivisor divide a process's memory into the parts that
	// its requests and its unsent responses may use.
	receivedDivisor = 4
	unsentDivisor   = 8
	// headerMemoryBytes bounds the memory of one header of maxHeaderBytes: most of it is
	// that of its lines, of at least four bytes each.
	headerMemoryBytes = 8 << 20
	// lineSlackBytes is added to the bound of the header for the default bound of a
	// line, so that a header of one line exceeds the header's bound first.
	lineSlackBytes = 128
	// pooledBufferBytes bounds the buffers that the library keeps for later use. It
	// uses buffers of any size for a few bytes, so a larger bound would let one connection
	// hold the memory of another one's body.
	pooledBufferBytes = 4 << 10
	// peerMessageOverheadBytes bounds the fields of a peer message other than the
	// request body.
	peerMessageOverheadBytes = 1 << 20
)

// Options are the address of a listener and the limits that protect it from its
// callers. A limit of 0 selects the default.
type Options struct {
	// Address is "ip:port"; port 0 selects a free port.
	Address string
	// MaxBodyBytes bounds the size of a request body, 8 MiB by default.
	MaxBodyBytes int
	// MaxConnections bounds the number of open connections, 20,000 by default.
	MaxConnections int
	// IdleTimeout is the time after which a connection is closed if it has no
	// request or if its caller reads nothing of a queued response, 120 s by
	// default.
	IdleTimeout time.Duration
	// ReceiveTimeout bounds the time from the first to the last byte of a request,
	// 30 s by default. A connection that exceeds it is closed.
	ReceiveTimeout time.Duration
	// MaxLineBytes bounds the request line, and each field of a header, with its end.
	// The default is the bound of the header.
	MaxLineBytes int
	// MaxFields bounds the fields of the header and trailer of a request, 4,096 by
	// default.
	MaxFields int
	// MaxEmptyLines bounds the empty lines before a request, 4 by default.
	MaxEmptyLines int
	// MaxPipelined bounds the requests of one connection that have no complete
	// response yet, 32 by default.
	MaxPipelined int
	// MaxReceivedBytes bounds the memory of all requests that have no complete response
	// yet, or are still being received, 256 MiB by default. When it is exceeded,
	// requests are refused, first those of connections that hold much of it.
	MaxReceivedBytes int64
	// MaxUnsentBytes bounds the unsent responses of all connections, 128 MiB by
	// default. When it is exceeded, handlers wait until callers have read.
	MaxUnsentBytes int64
	// OnRefusal is called with the type of the problem when a request is refused
	// before a handler sees it. It must not block. nil ignores refusals.
	OnRefusal func(reason string)
	// Limits returns the limits that may change while the listener serves. If it
	// is nil or a limit is 0, the limits above apply.
	Limits func() Limits
	// OnPanic is called after a panic of the handler with a value other than
	// http.ErrAbortHandler; nil ignores panics.
	OnPanic func(value any, stack []byte)
}

// Limits are the limits of one connection that may change while the listener
// serves.
type Limits struct {
	// MaxHeaderBytes bounds the request line and the header.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of
	// its header. A connection that exceeds it is closed. If it is 0, only
	// ReceiveTimeout applies.
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

// OptionsFromSettings returns the options for the address with the process's
// limits. On the peer address, a message may contain a request body of the
// largest size in base64 and other fields.
func OptionsFromSettings(s *settings.Settings, address string) Options {
	maxBodyBytes := s.MaxBodyBytes
	if address == s.PeerAddress && maxBodyBytes > 0 {
		maxBodyBytes = base64.StdEncoding.EncodedLen(maxBodyBytes) + peerMessageOverheadBytes
	}
	o := Options{
		Address:        address,
		MaxBodyBytes:   maxBodyBytes,
		MaxConnections: s.MaxConnections,
		IdleTimeout:    time.Duration(s.IdleTimeoutMillis) * time.Millisecond,
		MaxLineBytes:   s.MaxHeaderLineBytes,
		MaxFields:      s.MaxHeaderFields,
		MaxEmptyLines:  s.MaxEmptyLines,
		MaxPipelined:   s.MaxPipelinedRequests,
	}.WithMemory(s.MemoryBytes())
	if s.MaxReceivedBytes > 0 {
		o.MaxReceivedBytes = int64(s.MaxReceivedBytes)
	}
	if s.MaxUnsentBytes > 0 {
		o.MaxUnsentBytes = int64(s.MaxUnsentBytes)
	}
	return o
}

// WithMemory returns options in which the bounds of the received and the unsent bytes
// suit a process that has the given memory, and allow at least one request of the
// largest size. Zero leaves the options unchanged.
func (o Options) WithMemory(bytes int64) Options {
	if bytes > 0 {
		o.MaxReceivedBytes = max(bytes/receivedDivisor, int64(o.withDefaults().MaxBodyBytes)+headerMemoryBytes)
		o.MaxUnsentBytes = bytes / unsentDivisor
	}
	return o
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
	if o.MaxFields <= 0 {
		o.MaxFields = defaultMaxFields
	}
	if o.MaxEmptyLines <= 0 {
		o.MaxEmptyLines = defaultMaxEmptyLines
	}
	if o.MaxPipelined <= 0 {
		o.MaxPipelined = defaultMaxPipelined
	}
	if o.MaxReceivedBytes <= 0 {
		o.MaxReceivedBytes = defaultMaxReceivedBytes
	}
	if o.MaxUnsentBytes <= 0 {
		o.MaxUnsentBytes = defaultMaxUnsentBytes
	}
	if o.OnRefusal == nil {
		o.OnRefusal = func(string) {}
	}
	if o.OnPanic == nil {
		o.OnPanic = func(any, []byte) {}
	}
	return o
}

// Listener accepts connections and serves their requests.
type Listener struct {
	options Options
	handler http.Handler
	engine  *nbhttp.Engine
	socket  *socket
	fence   *pollerFence
	// stopped is closed when the sweep must end.
	stopped chan struct{}
	sweeper sync.WaitGroup
	// received is the memory of the requests of all connections.
	received atomic.Int64
	// unsent is the number of unsent bytes of all connections.
	unsent atomic.Int64

	mu sync.Mutex
	// open holds all connections.
	open map[*nbio.Conn]*connection
	// busy holds the connections that receive a request, serve one, or have
	// unsent data.
	busy map[*connection]struct{}
	// closing is true if each connection closes after its next response.
	closing bool
	// ended is true once no connection is left at a shutdown.
	ended bool
	// shutDown is true once Shutdown has been called.
	shutDown bool
}

var configureLibrary sync.Once

// New returns a listener that is serving. The handler's writer is a
// *stream.Writer, and the context of its request is cancelled when the caller
// disconnects. The handler must not use the request's body after it has
// returned.
func New(options Options, handler http.Handler) (*Listener, error) {
	// The library logs to standard output errors that the listener handles itself.
	configureLibrary.Do(func() {
		logging.SetLevel(logging.LevelNone)
		mempool.DefaultMemPool = mempool.New(0, pooledBufferBytes)
	})
	inner, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", options.Address)
	}
	l := &Listener{
		options: options.withDefaults(),
		handler: handler,
		socket:  newSocket(inner),
		stopped: make(chan struct{}),
		open:    make(map[*nbio.Conn]*connection),
		busy:    make(map[*connection]struct{}),
	}
	l.engine = nbhttp.NewEngine(l.engineConfig())
	l.engine.OnData(l.handleData)
	l.engine.OnWrittenSize(recordSent)
	l.engine.OnOpen(l.handleOpen)
	l.engine.OnClose(l.handleClose)
	if err := l.start(); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "serve on %s", options.Address), l.socket.Close())
	}
	l.sweeper.Add(1)
	go l.sweep()
	return l, nil
}

// start starts the engine and accepts connections once its poller runs.
func (l *Listener) start() error {
	if err := l.engine.Start(); err != nil {
		return err
	}
	var err error
	if l.fence, err = newPollerFence(l.engine.Engine); err != nil {
		return err
	}
	if err := l.fence.awaitStart(); err != nil {
		return err
	}
	l.socket.start(l.fence)
	return nil
}

func (l *Listener) engineConfig() nbhttp.Config {
	return nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{l.options.Address},
		Listen:             func(string, string) (net.Listener, error) { return l.socket, nil },
		NPoller:            pollerCount,
		MaxLoad:            l.options.MaxConnections,
		ReadLimit:          l.options.MaxBodyBytes + maxHeaderBytes,
		MaxHTTPBodySize:    l.options.MaxBodyBytes,
		MaxWriteBufferSize: maxWriteBufferBytes,
		KeepaliveTime:      libraryIdleTimeout,
		IOMod:              nbhttp.IOModNonBlocking,
		Handler:            http.HandlerFunc(l.serve),
		SupportServerOnly:  true,
		// In a pool of fixed size, long responses would block short ones.
		ServerExecutor: func(f func()) { go f() },
	}
}

// Address returns the "ip:port" on which the listener accepts.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// CloseAfterResponses makes each connection close after its next response.
// New connections are still accepted.
func (l *Listener) CloseAfterResponses() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
}

// Shutdown stops accepting connections, closes idle ones, lets running requests end
// and their responses reach the callers, and closes all connections. If the context
// ends first, it cancels the contexts of the requests, closes all connections once the
// handlers have responded or after 100 ms, and returns the error of ctx.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	alreadyShutDown := l.shutDown
	l.shutDown, l.closing = true, true
	l.mu.Unlock()
	if alreadyShutDown {
		return errors.New("listener is already shut down")
	}
	l.socket.stopAccepting()
	err := l.waitUntilIdle(ctx)
	if err != nil {
		l.cancelRequests()
	}
	close(l.stopped)
	l.sweeper.Wait()
	l.engine.Stop()
	return errors.CombineErrors(err, l.fence.close())
}

func (l *Listener) waitUntilIdle(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for !l.endIfIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// cancelRequests cancels the requests in progress and waits until their responses
// are sent.
func (l *Listener) cancelRequests() {
	l.engine.Cancel()
	ctx, cancel := context.WithTimeout(context.Background(), cancelPeriod)
	defer cancel()
	// What has not ended then is closed with the other connections.
	_ = l.waitUntilIdle(ctx)
}

// endIfIdle closes the idle connections. It reports whether none is busy or open;
// then no connection that is still being accepted is served either.
func (l *Listener) endIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = len(l.busy) == 0
	for _, c := range l.open {
		l.ended = c.endIdle() && l.ended
	}
	return l.ended
}

func (l *Listener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// handleData parses data from a caller. The library does not call it
// concurrently for the same connection.
func (l *Listener) handleData(socket *nbio.Conn, data []byte) {
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
		parser.Processor = &processor{Processor: parser.Processor, connection: c, maxBodyBytes: int64(l.options.MaxBodyBytes)}
		parser.Conn = c
	}
	if !c.accepts() {
		return
	}
	l.markBusy(c)
	l.parse(c, parser, data)
	c.sendRefusal(time.Now())
}

// parse passes the data to the parser in pieces, until a piece is refused. The parser
// buffers each line, and each body, until it is complete.
func (l *Listener) parse(c *connection, parser *nbhttp.Parser, data []byte) {
	limits := l.meterLimits()
	for len(data) > 0 {
		starts := c.meter.AtStart()
		piece := c.meter.Next(data, limits)
		if piece.Violation != bytemeter.None {
			c.refuse(refusalForViolation(piece.Violation))
			return
		}
		part := data[:piece.Size]
		data = data[piece.Size:]
		if piece.Kind == bytemeter.KindSkipped {
			continue
		}
		if starts && !c.beginReceiving(time.Now()) {
			return
		}
		if !c.charge(piece, starts) {
			c.refuse(overloaded())
			return
		}
		if err := parser.Parse(part); err != nil {
			c.refuse(refusalForParseError(err))
		}
		if !c.accepts() {
			return
		}
	}
}

// meterLimits returns the limits of a request's bytes in force.
func (l *Listener) meterLimits() bytemeter.Limits {
	header := l.options.limits().MaxHeaderBytes
	limits := bytemeter.Limits{
		HeaderBytes: header, LineBytes: header + lineSlackBytes, Fields: l.options.MaxFields, EmptyLines: l.options.MaxEmptyLines,
	}
	if l.options.MaxLineBytes > 0 {
		limits.LineBytes = l.options.MaxLineBytes
	}
	return limits
}

func (l *Listener) markBusy(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy[c] = struct{}{}
}

// handleOpen is called before the first data of a connection.
func (l *Listener) handleOpen(accepted net.Conn) {
	socket, ok := accepted.(*nbio.Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := newConnection(l, socket, time.Now())
	c.ended = l.ended
	l.open[socket] = c
}

func (l *Listener) connection(socket *nbio.Conn) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[socket]
}

// handleClose is called once a connection is closed and its last handler has
// returned.
func (l *Listener) handleClose(closed net.Conn, _ error) {
	socket, ok := closed.(*nbio.Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.open[socket]; c != nil {
		c.finish()
		c.release()
	}
	delete(l.open, socket)
}

// serve runs the handler with a stream writer in place of the library's writer.
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
	if c.Wait(stream.MaxQueuedBytes) != nil {
		return
	}
	s := stream.NewWithConnection(w, r.Method, c)
	defer l.recoverPanic(s, c)
	l.handler.ServeHTTP(s, r.WithContext(ctx))
	if ctx.Err() != nil && !s.Started() {
		// The library would send status 200 for a handler that gave up.
		c.abort()
	}
}

// recoverPanic ends the response of a handler that panicked. If a part of the
// response has been written, it closes the connection, so that the caller does
// not treat the part as a complete response.
func (l *Listener) recoverPanic(w *stream.Writer, c *connection) {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler { //nolint:errorlint // net/http documents the value itself
		l.options.OnPanic(value, debug.Stack())
	}
	if w.Started() || value == http.ErrAbortHandler { //nolint:errorlint // see above
		c.abort()
		return
	}
	failure := problem.Unknown("internal_error", "the handler of the request failed")
	_ = failure.WithStatus(http.StatusInternalServerError).Write(w)
}

// sweep checks the connections until the listener stops.
func (l *Listener) sweep() {
	defer l.sweeper.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-l.stopped:
			return
		case now := <-ticker.C:
			l.sweepBusy(now)
			if n%sweepsPerIdleSweep == 0 {
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
			c.release()
			delete(l.open, socket)
		}
	}
}
