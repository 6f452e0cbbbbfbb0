package eventstream

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	initialBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

// ErrTooLarge is returned for an event above 1 MiB.
var ErrTooLarge = errors.New("event of the stream exceeds 1 MiB")

// Event is one event as received, with the empty line that ends it.
type Event struct {
	// Data is valid until the next call of Next.
	Data []byte
	// ID is the event's identifier, empty if it has none.
	ID string
}

// Reserve reserves memory for the given number of bytes, or returns an error if there
// is none.
type Reserve func(bytes int64) error

// Reader reads events. It must not be used by several goroutines at once.
type Reader struct {
	source  io.Reader
	reserve Reserve
	buffer  []byte
	// start and end delimit the bytes in buffer that were not yet returned.
	start, end int
	err        error
}

// New returns a reader of the source. It calls reserve before its buffer grows beyond
// 4 KiB, with the size by which it grows.
func New(source io.Reader, reserve Reserve) *Reader {
	return &Reader{source: source, reserve: reserve, buffer: make([]byte, initialBufferBytes)}
}

// Next returns the next complete event. At the end of the source it returns the
// source's error, and the bytes after the last event as the event's data.
func (r *Reader) Next() (Event, error) {
	for {
		if n := eventLength(r.buffer[r.start:r.end]); n > 0 {
			data := r.buffer[r.start : r.start+n]
			r.start += n
			return Event{Data: data, ID: field(data, "id:")}, nil
		}
		if r.err != nil {
			rest := r.buffer[r.start:r.end]
			r.start = r.end
			return Event{Data: rest}, r.err
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// Buffered reports whether the next complete event is already in the buffer.
func (r *Reader) Buffered() bool { return eventLength(r.buffer[r.start:r.end]) > 0 }

func (r *Reader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventBytes {
			return ErrTooLarge
		}
		if err := r.reserve(int64(len(r.buffer))); err != nil {
			return err
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
	return nil
}

// eventLength returns the length of the first event with its empty line, 0 if
// it is incomplete.
func eventLength(data []byte) int {
	for offset := 0; offset < len(data); {
		lineLength := bytes.IndexByte(data[offset:], '\n')
		if lineLength < 0 {
			return 0
		}
		if len(bytes.TrimRight(data[offset:offset+lineLength], "\r")) == 0 {
			return offset + lineLength + 1
		}
		offset += lineLength + 1
	}
	return 0
}

// Type returns the event's type, empty if it states none.
func (e Event) Type() string { return field(e.Data, "event:") }

// IsComment reports whether the event consists of comments only.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(e.Data) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// field returns the value of the first line of the event that begins with the name,
// empty if there is none.
func field(event []byte, name string) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte(name)); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
