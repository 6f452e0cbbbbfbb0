package frame

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// MediaType is the content type of a stream of frames.
const MediaType = "application/x-ndjson"

// Kinds of frames.
const (
	KindAccepted  = "accepted"
	KindToken     = "token"
	KindHeartbeat = "heartbeat"
	KindResponse  = "response"
	KindEnd       = "end"
	KindFailed    = "failed"
)

// ErrMalformed is returned for a line that is not a frame.
var ErrMalformed = errors.New("malformed frame")

// Frame is one message of a stream.
type Frame struct {
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// GenerationID is set in accepted frames of generations.
	GenerationID string `json:"generation_id,omitempty"`
	// Seq is the number of the token, counted from 1 without gaps. In an end
	// frame it is the number of the last token.
	Seq uint64 `json:"seq,omitempty"`
	// Data is the engine's chunk, unchanged, in token frames.
	Data json.RawMessage `json:"data,omitempty"`
	// Status, Header and Body are the upstream's response, in response frames.
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"headers,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Replayed is true if a response is the stored result of an earlier attempt
	// with the same idempotency key.
	Replayed bool `json:"replayed,omitempty"`
	// Problem is set in failed frames.
	Problem *problem.Problem `json:"problem,omitempty"`
	// Load is the upstream's load, nil if the frame has no load report.
	Load *load.Report `json:"load,omitempty"`
}

// AppendToken appends the line of a token frame to the buffer and returns it.
// The data must be valid JSON without line breaks. It allocates only to grow
// the buffer.
func AppendToken(buffer []byte, seq uint64, data []byte) []byte {
	buffer = append(buffer, `{"kind":"token","seq":`...)
	buffer = strconv.AppendUint(buffer, seq, 10)
	buffer = append(buffer, `,"data":`...)
	buffer = append(buffer, data...)
	return append(buffer, '}', '\n')
}

// Append appends the frame's line to the buffer and returns it.
func (f *Frame) Append(buffer []byte) ([]byte, error) {
	if f.Kind == KindToken {
		return AppendToken(buffer, f.Seq, f.Data), nil
	}
	line, err := json.Marshal(f)
	if err != nil {
		return buffer, errors.Wrapf(err, "encode %s frame", f.Kind)
	}
	buffer = append(buffer, line...)
	return append(buffer, '\n'), nil
}

// Decoder reads frames. Its zero value is ready for use. It is not safe for
// concurrent use.
type Decoder struct {
	parser fastjson.Parser
	data   []byte
}

// Decode decodes one line into the frame, replacing its content. The frame's
// Data stays valid until the next call. Token frames are decoded without
// allocation.
func (d *Decoder) Decode(line []byte, f *Frame) error {
	value, err := d.parser.ParseBytes(line)
	if err != nil {
		return errors.Wrapf(ErrMalformed, "parse: %v", err)
	}
	if string(value.GetStringBytes("kind")) != KindToken {
		return decodeNonToken(line, f)
	}
	data := value.Get("data")
	seq := value.GetUint64("seq")
	if data == nil || seq == 0 {
		return errors.Wrap(ErrMalformed, "token frame without seq or data")
	}
	d.data = data.MarshalTo(d.data[:0])
	*f = Frame{Kind: KindToken, Seq: seq, Data: d.data}
	return nil
}

func decodeNonToken(line []byte, f *Frame) error {
	*f = Frame{}
	if err := json.Unmarshal(line, f); err != nil {
		return errors.Wrapf(ErrMalformed, "decode: %v", err)
	}
	switch f.Kind {
	case KindAccepted, KindHeartbeat, KindResponse, KindEnd:
		return nil
	case KindFailed:
		if f.Problem != nil {
			return nil
		}
	}
	return errors.Wrapf(ErrMalformed, "frame of kind %q", f.Kind)
}
