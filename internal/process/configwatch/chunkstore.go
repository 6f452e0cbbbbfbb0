package configwatch

import (
	"maps"
	"sync"

	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

// chunkStore holds verified chunks: the chunks of the bundle in force, and the
// chunks that an unfinished read of another bundle has collected, so that a
// retry does not read them again. It is safe for concurrent use.
type chunkStore struct {
	mu     sync.Mutex
	chunks map[string][]byte
	// bytes is the total size of all chunks, at most inForceBytes plus
	// manifest.MaxBundleBytes.
	bytes int
	// inForce holds the hashes of the chunks of the bundle in force, and
	// inForceBytes their total size.
	inForce      map[string]bool
	inForceBytes int
}

func newChunkStore() *chunkStore {
	return &chunkStore{chunks: make(map[string][]byte), inForce: make(map[string]bool)}
}

func (s *chunkStore) get(hash string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.chunks[hash]
	return data, ok
}

func (s *chunkStore) put(c manifest.Chunk, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[c.SHA256]; ok {
		return
	}
	if s.bytes+c.Size > s.inForceBytes+manifest.MaxBundleBytes {
		s.dropOthers()
	}
	s.chunks[c.SHA256] = data
	s.bytes += c.Size
}

// adopt stores the chunks of the bundle in force and drops all others.
func (s *chunkStore) adopt(m *manifest.Manifest, chunks map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForce = make(map[string]bool, len(m.Chunks))
	s.inForceBytes = 0
	for _, c := range m.Chunks {
		s.inForce[c.SHA256] = true
		s.inForceBytes += c.Size
		s.chunks[c.SHA256] = chunks[c.SHA256]
	}
	s.dropOthers()
}

func (s *chunkStore) dropOthers() {
	maps.DeleteFunc(s.chunks, func(hash string, _ []byte) bool { return !s.inForce[hash] })
	s.bytes = s.inForceBytes
}
