package sidecarclient

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/request/frame"
)

const (
	readBufferBytes = 16 << 10
	// maxLineBytes bounds one frame, which can hold a complete response in base64.
	maxLineBytes = 96 << 20
)

// Stream reads the frames of one link. It is not safe for concurrent use.
type Stream struct {
	body    io.ReadCloser
	reader  *bufio.Reader
	decoder frame.Decoder
	// line holds a frame that exceeds the reader's buffer.
	line []byte
	// watchdog cancels the context with ErrIdleTimeout. After the first call of
	// Next it runs only while Next waits, so that a slow caller does not look like
	// an idle link.
	watchdog    *time.Timer
	idleTimeout time.Duration
	ctx         context.Context
	cancel      context.CancelCauseFunc
}

func newStream(ctx context.Context, body io.ReadCloser, watchdog *time.Timer, cancel context.CancelCauseFunc, idleTimeout time.Duration) *Stream {
	return &Stream{
		body:        body,
		reader:      bufio.NewReaderSize(body, readBufferBytes),
		watchdog:    watchdog,
		idleTimeout: idleTimeout,
		ctx:         ctx,
		cancel:      cancel,
	}
}

// Next waits for the next frame. The frame's Data is valid until the next call.
// The error is ErrIdleTimeout, ErrLost or the cause of the context's
// cancellation.
func (s *Stream) Next(f *frame.Frame) error {
	s.watchdog.Reset(s.idleTimeout)
	line, err := s.readLine()
	s.watchdog.Stop()
	if err != nil {
		return s.classify(err)
	}
	if err := s.decoder.Decode(line, f); err != nil {
		return errors.Wrapf(ErrLost, "%v", err)
	}
	return nil
}

// Buffered reports whether data of the next frame have been received.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.line = s.line[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.line)+len(line) > maxLineBytes {
			return nil, errors.Newf("frame exceeds %d bytes", maxLineBytes)
		}
		s.line = append(s.line, line...)
		line, err = s.reader.ReadSlice('\n')
	}
	s.line = append(s.line, line...)
	return s.line, err
}

func (s *Stream) classify(err error) error {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, ErrIdleTimeout):
		return errors.Wrapf(ErrIdleTimeout, "for %s", s.idleTimeout)
	case cause != nil:
		return cause
	}
	return errors.Wrapf(ErrLost, "read frame: %v", err)
}

// Close closes the link.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}
