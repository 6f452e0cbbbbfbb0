package upstreamclient

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errHeadTooLarge is the error of an answer whose head does not end.
var errHeadTooLarge = errors.Newf("head of the answer exceeds %d bytes", maxHeadBytes)

// headLimit bounds the bytes that are read from the source while it is limited.
// It must not be used by several goroutines at once.
type headLimit struct {
	source  io.Reader
	limited bool
	// left is the number of bytes that may still be read.
	left int
}

func (l *headLimit) limit(size int) { l.limited, l.left = true, size }

func (l *headLimit) release() { l.limited = false }

// Read implements io.Reader.
func (l *headLimit) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.source.Read(buffer)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(buffer[:min(len(buffer), l.left)])
	l.left -= n
	return n, err
}
