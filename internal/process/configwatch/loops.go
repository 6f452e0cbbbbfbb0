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
	// startPeers is the number of peers that a starting process asks at once. If
	// none of them answers, it asks as many others.
	startPeers  = 5
	startRounds = 2
)

// offer is a peer's answer to a starting process.
type offer struct {
	from     *peerSource
	manifest *manifest.Manifest
	err      error
}

// askPeers adopts the newest bundle that random peers have.
func (w *Watcher) askPeers(ctx context.Context) {
	order := slices.Clone(w.peers.configured)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	answered := len(order) == 0
	for round := 0; round < startRounds && !answered && len(order) > 0; round++ {
		count := min(startPeers, len(order))
		answered = w.askRound(ctx, order[:count])
		order = order[count:]
	}
	if !answered {
		w.log.Emit(eventlog.ConfigurationPeersSilent).Int("peers", len(w.peers.configured)).Send()
	}
}

// askRound asks the peers at once and reports whether any of them answered,
// even if only that it has no configuration.
func (w *Watcher) askRound(ctx context.Context, peers []string) bool {
	offers := make(chan offer, len(peers))
	for _, p := range peers {
		go func() {
			from := w.peer(p)
			m, err := from.manifest(ctx, "")
			offers <- offer{from, m, err}
		}()
	}
	answered := false
	for range peers {
		o := <-offers
		answered = answered || o.err == nil || errors.Is(o.err, errNotFound)
		if o.err == nil {
			_ = w.adopt(ctx, o.manifest, o.from)
		}
	}
	return answered
}

// pollPeers asks a random peer now and then, so that a process to which nobody
// sends a message and one whose configuration service is stale learn of a
// change.
func (w *Watcher) pollPeers(ctx context.Context) {
	answered := false
	for pause.For(ctx, jitter(w.pollInterval(answered))) {
		peer := w.peers.pick()
		if peer == "" {
			continue
		}
		known := ""
		if c := w.Current(); c != nil {
			known = c.Hash
		}
		answered = w.readPeer(ctx, peer, known)
	}
}

// pollInterval is shorter before the first configuration, without which the
// process cannot serve, and after a peer that did not answer.
func (w *Watcher) pollInterval(answered bool) time.Duration {
	if w.Current() == nil || !answered {
		return w.timing.poll / 4
	}
	return w.timing.poll
}

// readPeer adopts the peer's bundle if it is newer, and reports whether the
// peer answered and has no bundle that is still to be adopted.
func (w *Watcher) readPeer(ctx context.Context, address, known string) bool {
	from := w.peer(address)
	m, err := from.manifest(ctx, known)
	if err != nil {
		return errors.Is(err, errNotModified)
	}
	return settled(w.adopt(ctx, m, from))
}

// settled reports whether nothing is left to do about a bundle: it is in force
// or not newer.
func settled(err error) bool {
	var refusal *adoption.Refusal
	return err == nil || errors.As(err, &refusal) && refusal.Reason == adoption.ReasonNotNewer
}

// followMentions reads from the peers whose messages mentioned a newer bundle.
func (w *Watcher) followMentions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-w.learned:
			w.follow(ctx, l)
		}
	}
}

func (w *Watcher) follow(ctx context.Context, l learned) {
	if !w.Current().Newer(l.version, l.hash) {
		return
	}
	if !w.readPeer(ctx, l.peer, "") {
		// A peer that mentions what it cannot serve is asked at a bounded rate.
		pause.For(ctx, jitter(w.timing.firstRetry/2))
	}
}

// watchService follows the configuration service until the context ends. While
// something is wrong it retries with growing delays.
func (w *Watcher) watchService(ctx context.Context) {
	var index uint64
	wait := w.timing.wait
	retry := w.timing.firstRetry
	reachable := true
	for ctx.Err() == nil {
		body, next, err := w.service.watch(ctx, index, wait)
		answered := err == nil || errors.Is(err, errNotFound) || errors.Is(err, errTooLarge)
		if ctx.Err() != nil {
			return
		}
		reachable = w.noteReachable(reachable, answered, err)
		if !answered {
			pause.For(ctx, jitter(retry))
			retry = min(2*retry, w.timing.lastRetry)
			continue
		}
		index = next
		if w.considerService(ctx, body, err) {
			wait, retry = w.timing.wait, w.timing.firstRetry
			continue
		}
		// The key does not change when a missing chunk arrives later, so that the
		// next watch ends early.
		wait = jitter(retry)
		retry = min(2*retry, w.timing.lastRetry)
	}
}

// noteReachable logs a change and returns the new state.
func (w *Watcher) noteReachable(before, now bool, err error) bool {
	switch {
	case before && !now:
		w.log.Emit(eventlog.ConfigurationServiceUnreachable).Str("peer", w.service.address).Err(err).Send()
	case !before && now:
		w.log.Emit(eventlog.ConfigurationServiceReachable).Str("peer", w.service.address).Send()
	}
	return now
}

// considerService adopts the service's bundle if it is newer, and reports
// whether nothing is left to do until the service's value changes.
func (w *Watcher) considerService(ctx context.Context, body []byte, err error) bool {
	if errors.Is(err, errNotFound) {
		return false
	}
	var m *manifest.Manifest
	if err == nil {
		m, err = manifest.Decode(body)
	}
	if err != nil {
		w.refuse(err, 0, w.service)
		return false
	}
	c := w.Current()
	if !c.Newer(m.Version, m.Hash) {
		w.noteOlder(c.Version == m.Version && c.Hash == m.Hash, m)
		return true
	}
	if !pause.For(ctx, time.Duration(rand.Int64N(int64(w.timing.spread)+1))) {
		return false
	}
	return settled(w.adopt(ctx, m, w.service))
}

func (w *Watcher) noteOlder(same bool, m *manifest.Manifest) {
	if same || w.repeated("older "+m.Hash) {
		return
	}
	w.log.Emit(eventlog.ConfigurationOlderOffered).Uint64("version", m.Version).Str("hash", m.Hash).Str("peer", w.service.address).Send()
}
