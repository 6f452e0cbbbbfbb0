package logsink

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the number of buffered bytes.
	maxPendingBytes = 1 << 20
	// batchDelay is the time for which lines are collected before they are
	// written together.
	batchDelay = 25 * time.Millisecond
	// flushTimeout limits the time that Close waits for the last write.
	flushTimeout = 500 * time.Millisecond
)

// Sink is an io.Writer that buffers whole lines. It is safe for concurrent use.
type Sink struct {
	target io.Writer
	// droppedLine returns the log line that reports the number of dropped lines.
	droppedLine func(lines int64) []byte

	mu      sync.Mutex
	pending []byte
	dropped int64
	closed  bool
	// wake receives a value when pending is no longer empty.
	wake chan struct{}
	done chan struct{}
}

// New returns a sink that writes to the target. The function droppedLine returns
// the log line that reports the number of dropped lines.
func New(target io.Writer, droppedLine func(lines int64) []byte) *Sink {
	s := &Sink{target: target, droppedLine: droppedLine, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers one line, or drops and counts it if the buffer is full. It never
// blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > maxPendingBytes {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines. It returns after flushTimeout if the reader of
// the log is too slow.
func (s *Sink) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.wake)
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		time.Sleep(batchDelay)
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
		lines = append(lines, s.droppedLine(dropped)...)
	}
	if len(lines) > 0 {
		// A failure to write the log cannot be reported anywhere.
		_, _ = s.target.Write(lines)
	}
}
