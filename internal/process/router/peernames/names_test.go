package peernames

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a name that is lost or changed.
func TestNamesAreDecodedAsEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names []Name
		for range rapid.IntRange(0, 50).Draw(t, "count") {
			names = append(names, Name{
				Address: fmt.Sprintf("10.%d.%d.%d:%d", rapid.IntRange(0, 255).Draw(t, "zone"), rapid.IntRange(0, 1).Draw(t, "rack"),
					rapid.IntRange(0, 255).Draw(t, "host"), rapid.IntRange(1, 65535).Draw(t, "port")),
				Lag: rapid.Int64().Draw(t, "lag"),
			})
		}
		encoded, rest := Encode(names)
		require.Empty(t, rest)
		decoded, err := Decode(encoded)
		require.NoError(t, err)
		compare := func(a, b Name) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) }
		slices.SortFunc(names, compare)
		slices.SortFunc(decoded, compare)
		require.Equal(t, names, decoded)
	})
}

// Guards against dropping a router whose address has another form.
func TestOtherAddressesAreLeftOver(t *testing.T) {
	names := []Name{{"router-1:1", 1}, {"10.0.0.1:1", 2}, {"[::1]:1", 3}, {"", 4}}
	encoded, rest := Encode(names)
	require.Equal(t, []Name{names[0], names[2], names[3]}, rest)
	decoded, err := Decode(encoded)
	require.NoError(t, err)
	require.Equal(t, names[1:2], decoded)
}

// Guards against names that take a large part of what a router may send for control.
func TestNamesOfALargeFleetAreSmall(t *testing.T) {
	var names []Name
	for i := range 370 {
		names = append(names, Name{fmt.Sprintf("10.%d.0.%d:8748", 1+i/34, 10+i%34), int64(i * 20)})
	}
	encoded, _ := Encode(names)
	require.Less(t, len(encoded), 4*len(names))
}

// FuzzDecode decodes what a faulty router may send.
func FuzzDecode(f *testing.F) {
	encoded, _ := Encode([]Name{{"10.0.0.1:8748", 5}, {"10.0.0.2:8748", -5}})
	f.Add(encoded)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add(make([]byte, 3*maxNames))
	f.Fuzz(func(t *testing.T, data []byte) {
		names, err := Decode(data)
		if err != nil {
			require.Nil(t, names)
			return
		}
		again, rest := Encode(names)
		require.Empty(t, rest)
		decoded, err := Decode(again)
		require.NoError(t, err)
		require.Len(t, decoded, len(names))
	})
}
