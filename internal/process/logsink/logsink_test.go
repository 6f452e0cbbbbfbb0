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

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	mu       sync.Mutex
	released chan struct{}
	written  bytes.Buffer
}

func (s *stuckWriter) Write(data []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(data)
}

func (s *stuckWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

func lost(lines int64) []byte { return fmt.Appendf(nil, "lost %d\n", lines) }

// Guards against a process that waits for the reader of its log, and against
// lines that are lost without a word.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	w := &stuckWriter{released: make(chan struct{})}
	s := New(w, lost)
	line := []byte(strings.Repeat("x", 999) + "\n")
	began := time.Now()
	for range 5 * maxPending / len(line) {
		_, err := s.Write(line)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	close(w.released)
	s.Close()
	require.Contains(t, w.String(), "lost ")
	for _, l := range strings.SplitAfter(strings.TrimSuffix(w.String(), "\n"), "\n") {
		require.True(t, strings.HasPrefix(l, "lost ") || strings.Trim(l, "x\n") == "", "a line was torn")
	}
}

// Guards against the last lines of a process that ends.
func TestCloseWritesWhatIsPending(t *testing.T) {
	var b bytes.Buffer
	s := New(&b, lost)
	_, _ = s.Write([]byte("last\n"))
	s.Close()
	s.Close()
	require.Equal(t, "last\n", b.String())
}
