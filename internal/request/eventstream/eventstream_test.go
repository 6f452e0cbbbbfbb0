package eventstream

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against bytes that are lost, added or moved between events, even if
// every read returns a single byte.
func TestEventsAreReturnedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []string
		for i := range rapid.IntRange(0, 20).Draw(t, "events") {
			newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
			data := rapid.StringMatching(`[a-z ]{0,300}`).Draw(t, "data")
			want = append(want, "id: "+strconv.Itoa(i)+newline+"data:"+data+newline+newline)
		}
		rest := rapid.SampledFrom([]string{"", "id: 99\nda"}).Draw(t, "rest")
		r := New(iotest.OneByteReader(strings.NewReader(strings.Join(want, "")+rest)), unlimited)
		for i, w := range want {
			e, err := r.Next()
			require.NoError(t, err)
			require.Equal(t, w, string(e.Data))
			require.Equal(t, strconv.Itoa(i), e.ID)
		}
		e, err := r.Next()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, rest, string(e.Data))
	})
}

// Guards against an endless event that exhausts the memory.
func TestEventSizeIsBounded(t *testing.T) {
	r := New(bytes.NewReader(bytes.Repeat([]byte("x"), 4*maxEventBytes)), unlimited)
	_, err := r.Next()
	require.ErrorIs(t, err, ErrTooLarge)
}

func BenchmarkNext(b *testing.B) {
	event := []byte("id: 12\ndata: " + strings.Repeat("x", 300) + "\n\n")
	source := bytes.Repeat(event, 200)
	b.SetBytes(int64(len(source)))
	for b.Loop() {
		r := New(bytes.NewReader(source), unlimited)
		for {
			if _, err := r.Next(); err != nil {
				break
			}
		}
	}
}

// FuzzNext splits what a faulty upstream may send in place of events.
func FuzzNext(f *testing.F) {
	for _, stream := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "HTTP/1.1 503 Busy\r\n\r\n{}", "\n\n\n", "id:\r\n\r\n", "", "\x00\xff"} {
		f.Add([]byte(stream))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := New(bytes.NewReader(stream), unlimited)
		var read []byte
		for {
			e, err := r.Next()
			read = append(read, e.Data...)
			if err != nil {
				break
			}
			require.NotEmpty(t, e.Data)
		}
		require.Equal(t, string(stream), string(read))
	})
}

// unlimited reserves any number of bytes.
func unlimited(int64) error { return nil }
