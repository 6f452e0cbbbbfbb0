package configwatch

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxObservedPeers bounds the number of peers that are known from messages only.
const maxObservedPeers = 8

// addresses holds the peers to read from: the peers in the settings, and the
// most recent senders of messages, because gateways are replaced while the
// settings of a process stay the same. It is safe for concurrent use.
type addresses struct {
	self string

	mu sync.RWMutex
	// configured never changes. observed has the most recent address last.
	configured, observed []string
}

func newAddresses(configured []string, self string) *addresses {
	others := slices.DeleteFunc(slices.Clone(configured), func(p string) bool { return p == self })
	return &addresses{self: self, configured: others}
}

// observe adds the sender of a message.
func (a *addresses) observe(peer string) {
	if peer == a.self || a.knows(peer) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observed = append(a.observed, peer)
	if len(a.observed) > maxObservedPeers {
		a.observed = slices.Delete(a.observed, 0, 1)
	}
}

func (a *addresses) knows(peer string) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return slices.Contains(a.observed, peer) || slices.Contains(a.configured, peer)
}

// pick returns a random peer, empty if none is known. It returns the excluded one
// only if it knows no other.
func (a *addresses) pick(excluded string) string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	known := slices.Concat(a.configured, a.observed)
	others := slices.DeleteFunc(slices.Clone(known), func(p string) bool { return p == excluded })
	switch {
	case len(others) > 0:
		return others[rand.IntN(len(others))]
	case len(known) > 0:
		return known[0]
	default:
		return ""
	}
}
