package configwatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

// Guards against memory that grows with each refused bundle, and against
// dropping the chunks in force together with the chunks of refused bundles.
func TestChunkStoreIsBounded(t *testing.T) {
	s := newChunkStore()
	kept := []byte("in force")
	m := manifest.New(1, []manifest.Chunk{manifest.NewChunk(kept)})
	s.adopt(m, map[string][]byte{m.Chunks[0].SHA256: kept})
	for i := range 100 {
		data := append(make([]byte, manifest.MaxValueBytes-10), fmt.Sprintf("%010d", i)...)
		s.put(manifest.NewChunk(data), data)
	}
	total := 0
	for _, data := range s.chunks {
		total += len(data)
	}
	require.Equal(t, s.bytes, total)
	require.LessOrEqual(t, total, len(kept)+manifest.MaxBundleBytes)
	_, ok := s.get(m.Chunks[0].SHA256)
	require.True(t, ok)
	_, ok = s.get(manifest.NewChunk(append(make([]byte, manifest.MaxValueBytes-10), "0000000099"...)).SHA256)
	require.True(t, ok, "the latest chunk must be kept")
}
