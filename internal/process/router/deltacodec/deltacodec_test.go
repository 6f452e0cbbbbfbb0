package deltacodec_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/router/deltacodec"
)

const maxBytes = 1 << 20

// Guards against a value that differs after it was encoded and decoded.
func TestDecodedValueEqualsEncoded(t *testing.T) {
	c := deltacodec.New(maxBytes)
	rapid.Check(t, func(rt *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(rt, "base")
		value := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(rt, "value")
		got, err := c.Decompress(c.Compress(value))
		require.NoError(rt, err)
		require.True(rt, bytes.Equal(value, got))
		got, err = c.Patch(base, c.Difference(base, value))
		require.NoError(rt, err)
		require.True(rt, bytes.Equal(value, got))
	})
}

// Guards against a difference as large as the value.
func TestDifferenceOfSimilarValuesIsSmall(t *testing.T) {
	c := deltacodec.New(maxBytes)
	base := similar(0)
	require.Less(t, len(c.Difference(base, similar(1))), len(base)/100)
}

// Guards against a difference that is applied to another version.
func TestPatchOfWrongBaseIsRefused(t *testing.T) {
	c := deltacodec.New(maxBytes)
	difference := c.Difference(similar(0), similar(1))
	other := similar(0)
	slices.Reverse(other)
	_, err := c.Patch(other, difference)
	require.Error(t, err)
	_, err = c.Patch(nil, difference)
	require.Error(t, err)
}

// Guards against an encoded value that takes more memory than permitted.
func TestTooLargeValueIsRefused(t *testing.T) {
	compressed := deltacodec.New(maxBytes).Compress(make([]byte, 2*maxBytes))
	_, err := deltacodec.New(maxBytes).Decompress(compressed)
	require.Error(t, err)
}

// similar returns a document that differs from another one in few bytes.
func similar(version byte) []byte {
	document := make([]byte, 100_000)
	for i := range document {
		document[i] = byte(i*i>>3 ^ i)
	}
	for i := range 10 {
		document[i*9000] += version
	}
	return document
}

func BenchmarkDifference(b *testing.B) {
	c := deltacodec.New(maxBytes)
	base, value := similar(0), similar(1)
	b.ReportAllocs()
	for b.Loop() {
		c.Difference(base, value)
	}
}

func BenchmarkPatch(b *testing.B) {
	c := deltacodec.New(maxBytes)
	base := similar(0)
	difference := c.Difference(base, similar(1))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Patch(base, difference); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzPatch decodes differences and compressed values that a faulty router may send.
func FuzzPatch(f *testing.F) {
	c := deltacodec.New(1 << 20)
	base := []byte("the configuration before")
	f.Add(base, c.Difference(base, []byte("the configuration after")))
	f.Add([]byte{}, c.Compress([]byte("the configuration")))
	f.Add([]byte{}, c.Compress(make([]byte, 1<<22)))
	f.Add(base, []byte("\x28\xb5\x2f\xfd"))
	f.Fuzz(func(t *testing.T, base, difference []byte) {
		if value, err := c.Patch(base, difference); err == nil {
			require.LessOrEqual(t, len(value), 1<<20)
		}
	})
}
