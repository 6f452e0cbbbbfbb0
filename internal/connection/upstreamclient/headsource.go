package upstreamclient

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
)

// errHeadTooLarge is the error of an answer whose head does not end.
var errHeadTooLarge = errors.Newf("head of the answer exceeds %d bytes", maxHeadBytes)

// headSource reads from the source. From begin to end it bounds the bytes that are read,
// and checks the head of the answer in them. It must not be used by several goroutines at
// once.
type headSource struct {
	source io.Reader
	inHead bool
	// left is the number of bytes that may still be read.
	left    int
	checker answerhead.Checker
}

// begin starts a head of at most size bytes. The first bytes of it, which were read before,
// are buffered; begin returns the error of their check.
func (s *headSource) begin(size int, buffered []byte) error {
	s.inHead, s.left = true, size
	s.checker.Reset()
	return s.checker.Check(buffered)
}

func (s *headSource) end() { s.inHead = false }

// Read implements io.Reader.
func (s *headSource) Read(buffer []byte) (int, error) {
	if !s.inHead {
		return s.source.Read(buffer)
	}
	if s.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := s.source.Read(buffer[:min(len(buffer), s.left)])
	s.left -= n
	if malformed := s.checker.Check(buffer[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}
