package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// cacheEvent tells that a prompt block was stored or removed.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Action string `json:"action"`
	Block  uint64 `json:"block"`
}

// memory is the block memory of an engine with its prefix cache. It is not safe
// for concurrent use.
type memory struct {
	// capacity is the number of blocks; private plus len(shared) never exceeds
	// it.
	capacity int
	private  int
	shared   map[uint64]*sharedBlock
	// unused holds the hashes of shared blocks without references, the least
	// recently used first.
	unused *list.List
	notify func(cacheEvent)
}

type sharedBlock struct {
	references int
	element    *list.Element
}

// holding is what one sequence holds of a memory.
type holding struct {
	shared  []uint64
	private int
}

func newMemory(capacity int, notify func(cacheEvent)) *memory {
	return &memory{capacity: capacity, shared: make(map[uint64]*sharedBlock), unused: list.New(), notify: notify}
}

// used returns the fraction of blocks that running sequences hold.
func (m *memory) used() float64 {
	return float64(m.private+len(m.shared)-m.unused.Len()) / float64(m.capacity)
}

// reserve makes n blocks free by removing unused cached blocks and reports
// whether it could.
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

// acquire takes the blocks for the given number of tokens, of which the first
// ones may be shared by the hashes. It returns the number of tokens found in
// the prefix cache.
func (m *memory) acquire(h *holding, hashes []uint64, tokens int) (cached int, ok bool) {
	hits := 0
	for hits < len(hashes) && m.shared[hashes[hits]] != nil {
		m.reference(hashes[hits])
		hits++
	}
	h.shared = hashes[:hits]
	needed := blocksFor(tokens)
	if !m.reserve(needed - hits) {
		m.release(h)
		return 0, false
	}
	for _, hash := range hashes[hits:] {
		if m.shared[hash] == nil {
			m.shared[hash] = &sharedBlock{}
			m.notify(cacheEvent{Action: "stored", Block: hash})
		}
		m.reference(hash)
	}
	h.shared = hashes
	h.private = needed - len(hashes)
	m.private += h.private
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

// grow makes the holding large enough for the tokens and reports whether there
// was room.
func (m *memory) grow(h *holding, tokens int) bool {
	missing := blocksFor(tokens) - len(h.shared) - h.private
	if missing <= 0 {
		return true
	}
	if !m.reserve(missing) {
		return false
	}
	h.private += missing
	m.private += missing
	return true
}

// release gives everything back; shared blocks stay cached.
func (m *memory) release(h *holding) {
	m.private -= h.private
	for _, hash := range h.shared {
		b := m.shared[hash]
		b.references--
		if b.references == 0 {
			b.element = m.unused.PushBack(hash)
		}
	}
	*h = holding{}
}

func blocksFor(tokens int) int { return (tokens + blockTokens - 1) / blockTokens }

// blockHashes returns a hash for each full block of the prompt that covers the
// block and everything before it.
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
