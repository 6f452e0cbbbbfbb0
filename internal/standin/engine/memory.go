package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// cacheEvent reports that a prompt block was stored in or removed from the prefix
// cache.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Action string `json:"action"`
	Block  uint64 `json:"block"`
}

// memory accounts for the key-value blocks of an engine, including its prefix
// cache. It is not safe for concurrent use.
type memory struct {
	// capacity is the number of blocks; private plus len(shared) never exceeds
	// it.
	capacity int
	// private is the number of blocks that belong to one sequence each.
	private int
	// shared holds the blocks of the prefix cache by hash.
	shared map[uint64]*sharedBlock
	// unused holds the hashes of shared blocks without references, least
	// recently used first.
	unused *list.List
	notify func(cacheEvent)
}

type sharedBlock struct {
	references int
	// element is the block's entry in memory.unused, nil while it is referenced.
	element *list.Element
}

// allocation is the blocks of one sequence: the hashes of its shared blocks and
// the number of its private ones.
type allocation struct {
	shared  []uint64
	private int
}

func newMemory(capacity int, notify func(cacheEvent)) *memory {
	return &memory{capacity: capacity, shared: make(map[uint64]*sharedBlock), unused: list.New(), notify: notify}
}

// usedFraction returns the fraction of blocks allocated to running sequences.
func (m *memory) usedFraction() float64 {
	return float64(m.private+len(m.shared)-m.unused.Len()) / float64(m.capacity)
}

// reserve ensures that n blocks are free by evicting unused cached blocks, and
// reports whether that was possible.
func (m *memory) reserve(n int) bool {
	if m.capacity-m.private-len(m.shared)+m.unused.Len() < n {
		return false
	}
	for m.capacity-m.private-len(m.shared) < n {
		hash := m.unused.Remove(m.unused.Front()).(uint64)
		delete(m.shared, hash)
		m.notify(cacheEvent{Action: "removed", Block: hash})
	}
	return true
}

// acquire allocates the blocks for the given number of tokens. The first
// len(hashes) blocks are shared through the prefix cache under their hashes. It
// returns the number of tokens found in the cache; if ok is false, the memory is
// too small and nothing is allocated.
func (m *memory) acquire(a *allocation, hashes []uint64, tokens int) (cached int, ok bool) {
	hits := 0
	for hits < len(hashes) && m.shared[hashes[hits]] != nil {
		m.reference(hashes[hits])
		hits++
	}
	a.shared = hashes[:hits]
	needed := blocksFor(tokens)
	if !m.reserve(needed - hits) {
		m.release(a)
		return 0, false
	}
	for _, hash := range hashes[hits:] {
		if m.shared[hash] == nil {
			m.shared[hash] = &sharedBlock{}
			m.notify(cacheEvent{Action: "stored", Block: hash})
		}
		m.reference(hash)
	}
	a.shared = hashes
	a.private = needed - len(hashes)
	m.private += a.private
	return hits * blockTokens, true
}

func (m *memory) reference(hash uint64) {
	b := m.shared[hash]
	b.references++
	if b.element != nil {
		m.unused.Remove(b.element)
		b.element = nil
	}
}

// grow extends the allocation to the given number of tokens and reports whether
// there was room.
func (m *memory) grow(a *allocation, tokens int) bool {
	missing := blocksFor(tokens) - len(a.shared) - a.private
	if missing <= 0 {
		return true
	}
	if !m.reserve(missing) {
		return false
	}
	a.private += missing
	m.private += missing
	return true
}

// release frees the allocation. Shared blocks stay cached until they are evicted.
func (m *memory) release(a *allocation) {
	m.private -= a.private
	for _, hash := range a.shared {
		b := m.shared[hash]
		b.references--
		if b.references == 0 {
			b.element = m.unused.PushBack(hash)
		}
	}
	*a = allocation{}
}

func blocksFor(tokens int) int { return (tokens + blockTokens - 1) / blockTokens }

// blockHashes returns one hash for each full block of the prompt. A hash covers
// its block and all blocks before it.
func blockHashes(prompt string) []uint64 {
	const blockBytes = blockTokens * bytesPerToken
	var hashes []uint64
	digest := xxhash.New()
	for i := 0; i+blockBytes <= len(prompt); i += blockBytes {
		_, _ = digest.WriteString(prompt[i : i+blockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
