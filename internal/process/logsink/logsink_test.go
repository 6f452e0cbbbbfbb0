package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every write until released is closed.
type blockedWriter struct {
	mu       sync.Mutex
	released chan struct{}
	written  bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(data)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

func droppedLine(lines int64) []byte { return fmt.Appendf(nil, "lost %d\n", lines) }

// Guards against a process that blocks on the reader of its log, and against
// lines that are dropped without being counted.
func TestWriteDoesNotBlockOnSlowReader(t *testing.T) {
	w := &blockedWriter{released: make(chan struct{})}
	s := New(w, droppedLine)
	line := []byte(strings.Repeat("x", 999) + "\n")
	start := time.Now()
	for range 5 * maxPendingBytes / len(line) {
		_, err := s.Write(line)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	close(w.released)
	s.Close()
	require.Contains(t, w.String(), "lost ")
	for _, l := range strings.SplitAfter(strings.TrimSuffix(w.String(), "\n"), "\n") {
		require.True(t, strings.HasPrefix(l, "lost ") || strings.Trim(l, "x\n") == "", "a line was truncated")
	}
}

// Guards against the loss of the last lines when a process exits.
func TestCloseWritesBufferedLines(t *testing.T) {
	var b bytes.Buffer
	s := New(&b, droppedLine)
	_, _ = s.Write([]byte("last\n"))
	s.Close()
	s.Close()
	require.Equal(t, "last\n", b.String())
}
