package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds a line of an event stream.
	maxLineBytes = 1 << 20
	// idleTimeout is the time without a token after which the stream is closed
	// and resumed on a new connection, because a connection can stop delivering
	// data permanently.
	idleTimeout = 3 * time.Second
)

var (
	// ErrTruncated is returned for a stream that ended without the end marker.
	ErrTruncated = errors.New("engine's stream was cut off")
	// ErrIdleTimeout is returned for a stream without a token for 3 s.
	ErrIdleTimeout = errors.New("engine's stream is silent")
	// ErrGap is returned for a token whose number is not the next one.
	ErrGap = errors.New("engine's stream has a gap")
	// ErrProtocol is returned for an event that is not a token.
	ErrProtocol = errors.New("engine sent an unexpected event")
)

var endMarker = []byte("[DONE]")

// Stream reads the tokens of one generation from one connection. It is not safe
// for concurrent use.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	// last is the number of the last token returned or skipped.
	last uint64
	// watchdog closes the body of an idle stream.
	watchdog *time.Timer
	// timedOut is closed when the watchdog closes the body.
	timedOut chan struct{}
}

func newStream(body io.ReadCloser, after uint64) *Stream {
	s := &Stream{body: body, scanner: bufio.NewScanner(body), last: after, timedOut: make(chan struct{})}
	s.scanner.Buffer(nil, maxLineBytes)
	s.watchdog = time.AfterFunc(idleTimeout, func() {
		close(s.timedOut)
		_ = body.Close()
	})
	return s
}

// Close closes the stream.
func (s *Stream) Close() {
	s.watchdog.Stop()
	_ = s.body.Close()
}

// Next returns the next token and its number. Duplicate tokens are skipped. It
// returns io.EOF after the end marker, and another error if the stream is
// unusable; the generation may then be resumed. The data stay valid after further
// calls.
func (s *Stream) Next() (seq uint64, data []byte, err error) {
	for {
		seq, data, err = s.event()
		if err != nil {
			return 0, nil, err
		}
		s.watchdog.Reset(idleTimeout)
		if seq <= s.last {
			continue
		}
		if seq != s.last+1 {
			return 0, nil, errors.Wrapf(ErrGap, "token %d follows token %d", seq, s.last)
		}
		s.last = seq
		return seq, data, nil
	}
}

// event reads the next event that has data.
func (s *Stream) event() (seq uint64, data []byte, err error) {
	failed := false
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if len(line) == 0 && data != nil {
			if failed || isError(data) {
				return 0, nil, errors.Wrapf(ErrProtocol, "error event %.200q", data)
			}
			return finishEvent(seq, data)
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			seq, _ = strconv.ParseUint(string(value), 10, 64)
		case "event":
			failed = string(value) == "error"
		case "data":
			data = appendData(data, value)
		}
	}
	return 0, nil, s.failure()
}

// isError reports whether the data are an error of the engine and no token, whatever
// number they have. Engines send {"error": ...} or {"object": "error", ...}.
func isError(data []byte) bool {
	var e struct {
		Error  json.RawMessage `json:"error"`
		Object string          `json:"object"`
	}
	if !bytes.Contains(data, []byte(`"error"`)) || json.Unmarshal(data, &e) != nil {
		return false
	}
	return e.Error != nil || e.Object == "error"
}

// appendData joins the data lines of one event (HTML standard, section 9.2).
func appendData(data, line []byte) []byte {
	if data == nil {
		return append(make([]byte, 0, len(line)), line...)
	}
	return append(append(data, '\n'), line...)
}

func finishEvent(seq uint64, data []byte) (uint64, []byte, error) {
	if bytes.Equal(data, endMarker) {
		return 0, nil, io.EOF
	}
	if seq == 0 || !json.Valid(data) {
		return 0, nil, errors.Wrapf(ErrProtocol, "event %q", data)
	}
	if !bytes.ContainsAny(data, "\r\n") {
		return seq, data, nil
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return 0, nil, errors.Wrapf(ErrProtocol, "event %q", data)
	}
	return seq, compact.Bytes(), nil
}

func (s *Stream) failure() error {
	select {
	case <-s.timedOut:
		return ErrIdleTimeout
	default:
	}
	if err := s.scanner.Err(); err != nil {
		return errors.Wrapf(ErrTruncated, "%v", err)
	}
	return ErrTruncated
}
