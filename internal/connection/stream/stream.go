package stream

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// maxChunkBytes bounds the data passed to the library between two flushes.
	// The library releases a buffer and uses it again if an unsent chunk and the
	// next one exceed 64 KiB together.
	maxChunkBytes = 32 << 10
	// MaxQueuedBytes is the amount of unsent data above which Write blocks.
	MaxQueuedBytes = 1 << 20
)

// ErrClosed is returned by Write after the caller has disconnected.
var ErrClosed = errors.New("caller closed the connection")

// Connection is the connection on which an answer is sent.
type Connection interface {
	// Closed reports whether the connection is closed.
	Closed() bool
	// Wait blocks until at most limit bytes are unsent. It returns an error once
	// the connection is closed.
	Wait(limit int64) error
	// SetStatus sets the status of the answer whose head is sent next, in place of
	// the one that the library writes.
	SetStatus(status int)
}

// Writer writes one answer. It implements http.ResponseWriter and http.Flusher.
// It is not safe for concurrent use.
type Writer struct {
	response   http.ResponseWriter
	connection Connection
	// pending is the number of bytes written since the last flush.
	pending int
	// bodiless is true for an answer that has no body by its method or status.
	bodiless    bool
	wroteHeader bool
}

// New returns a writer for the answer. It returns w itself if w is a *Writer, as
// it is in handlers that the listener calls.
func New(w http.ResponseWriter) *Writer {
	if s, ok := w.(*Writer); ok {
		return s
	}
	return &Writer{response: w}
}

// NewWithConnection returns a writer for the answer to a request with the
// method on the connection.
func NewWithConnection(w http.ResponseWriter, method string, c Connection) *Writer {
	return &Writer{response: w, connection: c, bodiless: method == http.MethodHead}
}

// Header returns the header that WriteHeader sends.
func (w *Writer) Header() http.Header { return w.response.Header() }

// WriteHeader sets the status. The library would send 200 for a status without a
// registered name, so it gets another one, which the connection replaces.
func (w *Writer) WriteHeader(status int) {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	if http.StatusText(status) == "" && w.connection != nil {
		w.connection.SetStatus(status)
		status = http.StatusInternalServerError
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		w.bodiless = true
	}
	// Without a length the library would use the chunked coding and send chunks,
	// but an answer to HEAD must not have a body.
	if w.bodiless && w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", "0")
	}
	w.response.WriteHeader(status)
}

// Write appends data to the body. It blocks while more than 1 MiB is unsent, and
// returns ErrClosed after the caller has disconnected.
func (w *Writer) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.Closed() {
		return 0, ErrClosed
	}
	if w.bodiless {
		return len(data), nil
	}
	if w.connection == nil {
		return w.response.Write(data)
	}
	written := 0
	for written < len(data) {
		n, err := w.writeChunk(data[written:])
		if err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

func (w *Writer) writeChunk(data []byte) (int, error) {
	if len(data) > maxChunkBytes {
		data = data[:maxChunkBytes]
	}
	if w.pending+len(data) > maxChunkBytes {
		w.Flush()
	}
	if err := w.connection.Wait(MaxQueuedBytes); err != nil {
		return 0, err
	}
	w.pending += len(data)
	return w.response.Write(data)
}

// Flush sends the data that have been written.
func (w *Writer) Flush() {
	w.WriteHeader(http.StatusOK)
	w.pending = 0
	if f, ok := w.response.(http.Flusher); ok {
		f.Flush()
	}
}

// Started reports whether the header has been written.
func (w *Writer) Started() bool { return w.wroteHeader }

// Closed reports whether the caller has disconnected. It is always false for a
// writer without a Connection.
func (w *Writer) Closed() bool {
	return w.connection != nil && w.connection.Closed()
}
