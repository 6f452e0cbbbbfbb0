package manifest_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

// encode returns an encoded manifest with the version.
func encode(t testing.TB, version uint64) []byte {
	data, err := manifest.New(version, []manifest.Chunk{manifest.NewChunk([]byte("content"))}).Encode()
	require.NoError(t, err)
	return data
}

// Guards against a truncated or damaged manifest that decodes as another
// version: no truncation and no changed digit of the version number or of a hash
// may pass.
func TestDecodeRefusesDamagedManifest(t *testing.T) {
	data := encode(t, 12)
	_, err := manifest.Decode(data)
	require.NoError(t, err)
	for i := range len(data) - len("}\n") {
		_, err := manifest.Decode(data[:i])
		require.ErrorIs(t, err, manifest.ErrMalformed)
	}
	_, err = manifest.Decode(bytes.Replace(data, []byte("12"), []byte("13"), 1))
	require.ErrorIs(t, err, manifest.ErrMalformed)
	_, err = manifest.Decode(append(data, bytes.Repeat([]byte(" "), manifest.MaxValueBytes)...))
	require.ErrorIs(t, err, manifest.ErrMalformed)
}

// Guards against version numbers so large that no later publication can exceed
// them.
func TestEncodeRefusesVersionOutOfRange(t *testing.T) {
	for _, version := range []uint64{0, manifest.MaxVersion + 1} {
		_, err := manifest.New(version, []manifest.Chunk{manifest.NewChunk([]byte("content"))}).Encode()
		require.ErrorIs(t, err, manifest.ErrMalformed)
	}
}

// Guards against a panic, and against a decoded manifest that cannot be encoded.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, 1))
	f.Add([]byte(`{"version":1,"hash":"","chunks":[]}`))
	f.Add([]byte(`{"version":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Decode(data)
		if err != nil {
			require.ErrorIs(t, err, manifest.ErrMalformed)
			return
		}
		_, err = m.Encode()
		require.NoError(t, err)
	})
}
