package frame_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// Guards against a frame that is changed by encoding and decoding.
func TestFrameSurvivesEncoding(t *testing.T) {
	failure := problem.Incomplete("engine_died", "connection reset")
	for _, want := range []frame.Frame{
		{Kind: frame.KindAccepted, GenerationID: "lm-1.0a.3", Load: &load.Report{Limit: 3}},
		{Kind: frame.KindToken, Seq: 7, Data: json.RawMessage(`{"choices":[{"text":"é\n"}]}`)},
		{Kind: frame.KindHeartbeat},
		{Kind: frame.KindResponse, Status: 201, Body: []byte("{}")},
		{Kind: frame.KindEnd, Seq: 9},
		{Kind: frame.KindFailed, Problem: &failure},
	} {
		line, err := want.Append(nil)
		require.NoError(t, err)
		var got frame.Frame
		var d frame.Decoder
		require.NoError(t, d.Decode(line, &got))
		require.Equal(t, want, got)
	}
}

// Guards against the acceptance of truncated lines and of lines that are not
// frames.
func TestDecodeRejectsMalformedLines(t *testing.T) {
	var d frame.Decoder
	var f frame.Frame
	for _, line := range []string{"", "{", "[]", `{"kind":"other"}`, `{"kind":"failed"}`, `{"kind":"token","seq":0,"data":{}}`, `{"kind":"token","seq":1}`} {
		require.ErrorIs(t, d.Decode([]byte(line), &f), frame.ErrMalformed, "line %q", line)
	}
}

// Guards against allocations for each token.
func TestTokenFramesAreDecodedWithoutAllocation(t *testing.T) {
	line := frame.AppendToken(nil, 12345, []byte(`{"id":"cmpl-1","choices":[{"index":0,"text":" stand"}]}`))
	var d frame.Decoder
	var f frame.Frame
	require.NoError(t, d.Decode(line, &f))
	require.Zero(t, testing.AllocsPerRun(100, func() { _ = d.Decode(line, &f) }))
}

func BenchmarkDecodeToken(b *testing.B) {
	line := frame.AppendToken(nil, 12345, []byte(`{"id":"cmpl-1","choices":[{"index":0,"text":" stand"}]}`))
	var d frame.Decoder
	var f frame.Frame
	b.ReportAllocs()
	for b.Loop() {
		if err := d.Decode(line, &f); err != nil {
			b.Fatal(err)
		}
	}
}
