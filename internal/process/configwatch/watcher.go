package configwatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/version/adoption"
	"github.com/flamingohold/flamingohold/internal/version/bundle"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

// Options are the addresses that a watcher reads from, and the address and
// secret of its own process.
type Options struct {
	// ServiceAddress is the address of the configuration service, empty for
	// sidecars.
	ServiceAddress string
	// PeerAddresses are the peer addresses of gateways.
	PeerAddresses []string
	// OwnAddress is the process's own peer address, which it never reads from.
	OwnAddress string
	// PeerSecret is the bearer token of calls to peers.
	PeerSecret string
}

// OptionsFromSettings returns the options of a process with the settings and the
// peer secret. A sidecar does not read the configuration service, whose load
// would otherwise grow with the number of upstreams.
func OptionsFromSettings(s *settings.Settings, secret string) Options {
	o := Options{ServiceAddress: s.ConfigurationService, PeerAddresses: s.GatewayPeers, OwnAddress: s.PeerAddress, PeerSecret: secret}
	if s.Service != "" {
		o.ServiceAddress = ""
	}
	return o
}

// Watcher keeps the newest configuration in force. It is safe for concurrent
// use.
type Watcher struct {
	service   *serviceSource
	peers     *addresses
	secret    string
	client    *http.Client
	log       *eventlog.Log
	timing    timing
	announced chan announcement
	store     *chunkStore

	// current and served are replaced together while mu is held.
	current atomic.Pointer[configuration.Configuration]
	served  atomic.Pointer[servedBundle]

	mu          sync.Mutex
	subscribers []func(*configuration.Configuration)
	// lastRefusal is the text of the last logged refusal. A refusal that each
	// retry repeats is logged once.
	lastRefusal string
}

// announcement names a peer and the bundle in force there, as stated in a
// message from the peer.
type announcement struct {
	version uint64
	hash    string
	peer    string
}

// New returns a watcher without a configuration. Run starts it.
func New(o Options, log *eventlog.Log) *Watcher {
	t := defaultTiming()
	w := &Watcher{
		peers:     newAddresses(o.PeerAddresses, o.OwnAddress),
		secret:    o.PeerSecret,
		client:    &http.Client{Transport: newTransport(t.dial)},
		log:       log,
		timing:    t,
		announced: make(chan announcement, 1),
		store:     newChunkStore(),
	}
	if o.ServiceAddress != "" {
		w.service = &serviceSource{client: w.client, address: o.ServiceAddress, limiter: newReadLimiter(), timing: &w.timing}
	}
	return w
}

func newTransport(dial time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         answerhead.DialKept((&net.Dialer{Timeout: dial}).DialContext),
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
}

// Current returns the configuration in force, nil before the first adoption.
func (w *Watcher) Current() *configuration.Configuration { return w.current.Load() }

// Subscribe calls the function with the configuration in force, if there is one,
// and with each later configuration, in the order of adoption and never
// concurrently. The function must not call Subscribe.
func (w *Watcher) Subscribe(f func(*configuration.Configuration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, f)
	if c := w.current.Load(); c != nil {
		f(c)
	}
}

// ObserveVersion records that a message from the peer announced a bundle, which
// need not be newer than the one in force. The hash is empty if the message
// contains none. ObserveVersion never blocks.
func (w *Watcher) ObserveVersion(version uint64, hash, peerAddress string) {
	if peerAddress == "" {
		return
	}
	w.peers.observe(peerAddress)
	if !w.Current().OlderThan(version, hash) {
		return
	}
	select {
	case w.announced <- announcement{version, hash, peerAddress}:
	default: // another read is pending; a later message repeats the announcement
	}
}

// Run keeps the configuration up to date until the context ends, and then
// returns nil. It queries the peers first, because the configuration service
// may be stale.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.client.CloseIdleConnections()
	w.queryPeers(ctx)
	var group sync.WaitGroup
	group.Go(func() { w.pollPeers(ctx) })
	group.Go(func() { w.followAnnouncements(ctx) })
	if w.service != nil {
		group.Go(func() { w.watchService(ctx) })
	}
	group.Wait()
	return nil
}

func (w *Watcher) peer(address string) *peerSource {
	return &peerSource{client: w.client, address: address, secret: w.secret, timeout: w.timing.peerRead}
}

// adopt reads the chunks that are not in the store and puts the bundle into
// force if it is newer. The error for a refused bundle is an *adoption.Refusal.
func (w *Watcher) adopt(ctx context.Context, m *manifest.Manifest, from source) error {
	if !w.Current().OlderThan(m.Version, m.Hash) {
		return &adoption.Refusal{Version: m.Version, Hash: m.Hash, Reason: adoption.ReasonNotNewer}
	}
	chunks, err := w.collect(ctx, m, from)
	if err == nil {
		err = w.install(m, chunks, from)
	}
	if err != nil {
		w.logRefusal(err, m.Version, from)
	}
	return err
}

func (w *Watcher) collect(ctx context.Context, m *manifest.Manifest, from source) (map[string][]byte, error) {
	chunks := make(map[string][]byte, len(m.Chunks))
	for _, c := range m.Chunks {
		data, err := w.chunk(ctx, c, from)
		if err != nil {
			reason := adoption.ReasonIncomplete
			if errors.Is(err, bundle.ErrCorrupt) || errors.Is(err, errTooLarge) {
				reason = adoption.ReasonCorrupt
			}
			return nil, &adoption.Refusal{Version: m.Version, Hash: m.Hash, Reason: reason, Detail: err.Error()}
		}
		chunks[c.SHA256] = data
	}
	return chunks, nil
}

// chunk returns a verified chunk from the store, from the source or, if the
// source fails, from another peer.
func (w *Watcher) chunk(ctx context.Context, c manifest.Chunk, from source) ([]byte, error) {
	if data, ok := w.store.get(c.SHA256); ok {
		return data, nil
	}
	data, err := readVerified(ctx, c, from)
	if other := w.peers.pick(from.String()); err != nil && other != "" {
		if fromPeer, peerErr := readVerified(ctx, c, w.peer(other)); peerErr == nil {
			data, err = fromPeer, nil
		}
	}
	if err != nil {
		return nil, err
	}
	w.store.put(c, data)
	return data, nil
}

func readVerified(ctx context.Context, c manifest.Chunk, from source) ([]byte, error) {
	data, err := from.chunk(ctx, c.SHA256)
	if err != nil {
		return nil, err
	}
	return data, errors.Wrapf(bundle.Verify(c, data), "verify chunk from %s", from)
}

// install puts the bundle into force and calls the subscribers.
func (w *Watcher) install(m *manifest.Manifest, chunks map[string][]byte, from source) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, err := adoption.Decide(w.current.Load(), m, chunks)
	if err != nil {
		return err
	}
	s, err := newServedBundle(m, chunks, w.served.Load())
	if err != nil {
		return err
	}
	w.store.adopt(m, chunks)
	w.served.Store(s)
	w.current.Store(next)
	w.log.Emit(eventlog.ConfigurationAdopted).Uint64("version", m.Version).Str("hash", m.Hash).Str("peer", from.String()).Send()
	for _, f := range w.subscribers {
		f(next)
	}
	return nil
}

// logRefusal logs a refusal, unless it repeats the last one. A bundle that is
// not newer, because another source has put it into force in the meantime, is
// not logged.
func (w *Watcher) logRefusal(err error, version uint64, from source) {
	var refusal *adoption.Refusal
	if errors.As(err, &refusal) && refusal.Reason == adoption.ReasonNotNewer {
		return
	}
	if w.isRepeated(err.Error()) {
		return
	}
	w.log.Emit(eventlog.ConfigurationRefused).Uint64("version", version).Str("peer", from.String()).Err(err).Send()
}

// isRepeated reports whether the text is that of the last refusal, and records
// it.
func (w *Watcher) isRepeated(text string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	same := text == w.lastRefusal
	w.lastRefusal = text
	return same
}
