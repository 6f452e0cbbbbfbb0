package manifest_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

func encoded(t testing.TB, version uint64) []byte {
	data, err := manifest.New(version, []manifest.Chunk{manifest.Describe([]byte("content"))}).Encode()
	require.NoError(t, err)
	return data
}

// Guards against a truncated or damaged manifest that is taken for another
// version: no cut and no changed digit of the number or of a hash may pass.
func TestDecodeRefusesTruncationAndDamage(t *testing.T) {
	data := encoded(t, 12)
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

// Guards against version numbers that no later publication can exceed.
func TestDecodeRefusesVersionsOutOfRange(t *testing.T) {
	for _, version := range []uint64{0, manifest.MaxVersion + 1} {
		_, err := manifest.New(version, []manifest.Chunk{manifest.Describe([]byte("content"))}).Encode()
		require.ErrorIs(t, err, manifest.ErrMalformed)
	}
}

// Guards against a panic and against an accepted manifest that does not encode.
func FuzzDecode(f *testing.F) {
	f.Add(encoded(f, 1))
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
