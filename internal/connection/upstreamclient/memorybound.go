package upstreamclient

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// memoryBound bounds the bytes that all answers of a pool hold together for one purpose.
type memoryBound struct {
	maxBytes int64
	used     atomic.Int64
	exceeded error
}

func newMemoryBound(maxBytes int64, content string) *memoryBound {
	return &memoryBound{maxBytes: maxBytes, exceeded: errors.Newf("%s in progress exceed %d bytes", content, maxBytes)}
}

// share is the part of a bound that one answer uses.
type share struct {
	bound *memoryBound
	bytes int64
}

// add counts the bytes until release, also if it returns an error because the bound
// is exceeded.
func (s *share) add(bytes int64) error {
	s.bytes += bytes
	if s.bound.used.Add(bytes) > s.bound.maxBytes {
		return s.bound.exceeded
	}
	return nil
}

// release stops counting the bytes of the answer.
func (s *share) release() {
	s.bound.used.Add(-s.bytes)
	s.bytes = 0
}
