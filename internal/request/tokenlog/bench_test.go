package tokenlog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/request/tokenlog"
)

// BenchmarkToken measures appending, reading and acknowledging one token.
func BenchmarkToken(b *testing.B) {
	l := tokenlog.New("i.c.1", "bakery", 1<<20, start)
	data := make([]byte, 200)
	b.ReportAllocs()
	for seq := uint64(1); b.Loop(); seq++ {
		accepted, err := l.Append(seq, data)
		require.True(b, accepted)
		require.NoError(b, err)
		_, err = l.Read(seq-1, 256)
		require.NoError(b, err)
		l.Acknowledge(seq)
	}
}
