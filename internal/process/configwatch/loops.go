package configwatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/version/adoption"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

const (
	// startPeers is the number of peers that a starting process queries at once.
	// If none of them responds, it queries as many others, in up to startRounds
	// rounds.
	startPeers  = 5
	startRounds = 2
)

// manifestResult is the result of a peer's manifest query at the start of a
// process.
type manifestResult struct {
	from     *peerSource
	manifest *manifest.Manifest
	err      error
}

// queryPeers adopts the newest bundle of a number of random peers.
func (w *Watcher) queryPeers(ctx context.Context) {
	order := slices.Clone(w.peers.configured)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	responded := len(order) == 0
	for round := 0; round < startRounds && !responded && len(order) > 0; round++ {
		count := min(startPeers, len(order))
		responded = w.queryRound(ctx, order[:count])
		order = order[count:]
	}
	if !responded {
		w.log.Emit(eventlog.ConfigurationPeersSilent).Int("peers", len(w.peers.configured)).Send()
	}
}

// queryRound queries the peers concurrently and reports whether any of them
// responded. A response that the peer has no configuration counts.
func (w *Watcher) queryRound(ctx context.Context, peers []string) bool {
	results := make(chan manifestResult, len(peers))
	for _, p := range peers {
		go func() {
			from := w.peer(p)
			m, err := from.manifest(ctx, "")
			results <- manifestResult{from, m, err}
		}()
	}
	responded := false
	for range peers {
		r := <-results
		responded = responded || r.err == nil || errors.Is(r.err, errNotFound)
		if r.err == nil {
			_ = w.adopt(ctx, r.manifest, r.from)
		}
	}
	return responded
}

// pollPeers queries a random peer at each poll interval. It finds changes for a
// process that receives no messages or whose configuration service is stale. After
// a poll that failed it queries another peer.
func (w *Watcher) pollPeers(ctx context.Context) {
	succeeded := false
	failed := ""
	for pause.For(ctx, jitter(w.pollInterval(succeeded))) {
		peer := w.peers.pick(failed)
		if peer == "" {
			continue
		}
		known := ""
		if c := w.Current(); c != nil {
			known = c.Hash
		}
		failed = ""
		if succeeded = w.readPeer(ctx, peer, known); !succeeded {
			failed = peer
		}
	}
}

// pollInterval returns the mean time until the next poll. It is shorter before
// the first configuration, without which the process cannot serve, and after a
// poll that failed.
func (w *Watcher) pollInterval(succeeded bool) time.Duration {
	if w.Current() == nil || !succeeded {
		return w.timing.poll / 4
	}
	return w.timing.poll
}

// readPeer adopts the peer's bundle if it is newer. It reports whether the peer
// responded and its bundle is in force or not newer.
func (w *Watcher) readPeer(ctx context.Context, address, known string) bool {
	from := w.peer(address)
	m, err := from.manifest(ctx, known)
	if err != nil {
		return errors.Is(err, errNotModified)
	}
	return upToDate(w.adopt(ctx, m, from))
}

// upToDate reports whether, after adopt returned the error, the bundle is in
// force or not newer, so that no retry is necessary.
func upToDate(err error) bool {
	var refusal *adoption.Refusal
	return err == nil || errors.As(err, &refusal) && refusal.Reason == adoption.ReasonNotNewer
}

// followAnnouncements reads from the peers whose messages announced a newer
// bundle.
func (w *Watcher) followAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-w.announced:
			w.readAnnouncement(ctx, a)
		}
	}
}

func (w *Watcher) readAnnouncement(ctx context.Context, a announcement) {
	if !w.Current().OlderThan(a.version, a.hash) {
		return
	}
	if !w.readPeer(ctx, a.peer, "") {
		// The delay bounds the rate of reads from a peer that announces a bundle it
		// cannot serve.
		pause.For(ctx, jitter(w.timing.firstRetry/2))
	}
}

// watchService watches the configuration service until the context ends. While
// the service fails or its bundle is refused, it retries with growing delays.
func (w *Watcher) watchService(ctx context.Context) {
	var index uint64
	wait := w.timing.wait
	retry := w.timing.firstRetry
	reachable := true
	for ctx.Err() == nil {
		body, next, err := w.service.watch(ctx, index, wait)
		responded := err == nil || errors.Is(err, errNotFound) || errors.Is(err, errTooLarge)
		if ctx.Err() != nil {
			return
		}
		reachable = w.logReachability(reachable, responded, err)
		if !responded {
			pause.For(ctx, jitter(retry))
			retry = min(2*retry, w.timing.lastRetry)
			continue
		}
		index = next
		if w.adoptFromService(ctx, body, err) {
			wait, retry = w.timing.wait, w.timing.firstRetry
			continue
		}
		// The manifest does not change when a missing chunk is published later, so
		// the next watch must end early.
		wait = jitter(retry)
		retry = min(2*retry, w.timing.lastRetry)
	}
}

// logReachability logs a change of the service's reachability and returns the
// new state.
func (w *Watcher) logReachability(before, now bool, err error) bool {
	switch {
	case before && !now:
		w.log.Emit(eventlog.ConfigurationServiceUnreachable).Str("peer", w.service.address).Err(err).Send()
	case !before && now:
		w.log.Emit(eventlog.ConfigurationServiceReachable).Str("peer", w.service.address).Send()
	}
	return now
}

// adoptFromService adopts the service's bundle if it is newer. It reports
// whether no retry is necessary until the service's manifest changes.
func (w *Watcher) adoptFromService(ctx context.Context, body []byte, err error) bool {
	if errors.Is(err, errNotFound) {
		return false
	}
	var m *manifest.Manifest
	if err == nil {
		m, err = manifest.Decode(body)
	}
	if err != nil {
		w.logRefusal(err, 0, w.service)
		return false
	}
	c := w.Current()
	if !c.OlderThan(m.Version, m.Hash) {
		w.logOlder(c.Version == m.Version && c.Hash == m.Hash, m)
		return true
	}
	if !pause.For(ctx, time.Duration(rand.Int64N(int64(w.timing.spread)+1))) {
		return false
	}
	return upToDate(w.adopt(ctx, m, w.service))
}

// logOlder logs once that the service has an older bundle than the one in force.
func (w *Watcher) logOlder(same bool, m *manifest.Manifest) {
	if same || w.isRepeated("older "+m.Hash) {
		return
	}
	w.log.Emit(eventlog.ConfigurationOlderOffered).Uint64("version", m.Version).Str("hash", m.Hash).Str("peer", w.service.address).Send()
}
