package logsink

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes that wait to be written.
	maxPending = 1 << 20
	// gather is how long lines are gathered for one write.
	gather = 25 * time.Millisecond
	// flushTimeout bounds the last write of a process.
	flushTimeout = 500 * time.Millisecond
)

// Sink is a writer of whole lines. It is safe for concurrent use.
type Sink struct {
	target io.Writer
	// lost returns the line that tells of dropped lines.
	lost func(lines int64) []byte

	mu      sync.Mutex
	pending []byte
	dropped int64
	closed  bool
	// filled receives a value when there is something to write.
	filled chan struct{}
	done   chan struct{}
}

// New returns a sink that writes to the target. The function lost returns the
// line that tells how many lines were dropped.
func New(target io.Writer, lost func(lines int64) []byte) *Sink {
	s := &Sink{target: target, lost: lost, filled: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > maxPending {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	select {
	case s.filled <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is pending, unless the reader does not take it in time.
func (s *Sink) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.filled)
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.filled {
		time.Sleep(gather)
		s.writePending()
	}
	s.writePending()
}

func (s *Sink) writePending() {
	s.mu.Lock()
	lines, dropped := s.pending, s.dropped
	s.pending, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, s.lost(dropped)...)
	}
	if len(lines) > 0 {
		// There is nowhere to report that the log cannot be written.
		_, _ = s.target.Write(lines)
	}
}
