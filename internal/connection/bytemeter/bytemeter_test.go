package bytemeter_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/connection/bytemeter"
)

var limits = bytemeter.Limits{HeaderBytes: 120, LineBytes: 100, Fields: 6, EmptyLines: 2}

// reader passes data to the library's parser as the meter cuts them. It is the
// parser's processor.
type reader struct {
	nbhttp.Processor
	meter    bytemeter.Meter
	parser   *nbhttp.Parser
	chunked  bool
	requests int
}

var engine = nbhttp.NewEngine(nbhttp.Config{})

func newReader() *reader {
	r := &reader{Processor: nbhttp.NewEmptyProcessor()}
	r.parser = nbhttp.NewParser(nil, engine, r, false, nil)
	return r
}

func (r *reader) OnHeader(_ *nbhttp.Parser, key, _ string) {
	r.chunked = r.chunked || key == "Transfer-Encoding"
}

func (r *reader) OnContentLength(_ *nbhttp.Parser, length int) {
	r.meter.EndHeader(length, r.chunked)
}

func (r *reader) OnComplete(*nbhttp.Parser) {
	r.meter.EndRequest()
	r.chunked = false
	r.requests++
}

// read passes the data as one read of the network. It returns the first violation or
// error, whichever comes first.
func (r *reader) read(data []byte) (bytemeter.Violation, error) {
	for len(data) > 0 {
		p := r.meter.Next(data, limits)
		if p.Violation != bytemeter.None {
			return p.Violation, nil
		}
		if p.Kind != bytemeter.KindSkipped {
			if err := r.parser.Parse(data[:p.Size]); err != nil {
				return bytemeter.None, err
			}
		}
		data = data[p.Size:]
	}
	return bytemeter.None, nil
}

// writeRequest writes a request that may exceed limits or be malformed.
func writeRequest(t *rapid.T, b *strings.Builder) {
	write := func(name string, most int, parts ...string) {
		for range rapid.IntRange(0, most).Draw(t, name) {
			b.WriteString(rapid.SampledFrom(parts).Draw(t, name))
		}
	}
	garbage := func() {
		if rapid.IntRange(0, 19).Draw(t, "is garbage") == 0 {
			write("garbage", 3, "\r", "\n", "\r\n", " ", "a", ":", "0", "f", strings.Repeat("a", 60))
		}
	}
	write("empty lines", 3, "\r\n")
	garbage()
	b.WriteString("POST /" + strings.Repeat("a", rapid.IntRange(0, 90).Draw(t, "path")) + " HTTP/1.1\r\n")
	write("fields", 7, "a:\r\n", "A: b\r\n", "A: "+strings.Repeat("c", 50)+"\r\n", "Host: a\r\n")
	garbage()
	switch rapid.IntRange(0, 2).Draw(t, "body") {
	case 0:
		b.WriteString("\r\n")
	case 1:
		body := strings.Repeat("\r\nPOST", rapid.IntRange(0, 30).Draw(t, "size"))
		fmt.Fprintf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n")
		write("declared", 1, "Trailer: t\r\n")
		b.WriteString("\r\n")
		write("chunks", 6, "3\r\n0\r\n\r\n", "1;x=y\r\na\r\n", "0a \r\n\r\n0\r\n\r\nabc\r\n", "1;"+strings.Repeat("x", 95)+"\r\na\r\n")
		garbage()
		b.WriteString("0\r\n")
		write("trailer", 1, "t:1\r\n", "t:"+strings.Repeat("t", 90)+"\r\n")
		b.WriteString("\r\n")
	}
}

// Guards against a verdict that depends on how the network splits the data, which
// would refuse requests within the limits or let others pass.
func TestVerdictDoesNotDependOnTheSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b strings.Builder
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			writeRequest(t, &b)
		}
		data := []byte(b.String())
		whole := newReader()
		want, wantErr := whole.read(data)
		split := newReader()
		got, gotErr := bytemeter.None, error(nil)
		for rest := data; len(rest) > 0 && got == bytemeter.None && gotErr == nil; {
			n := rapid.IntRange(1, min(len(rest), 12)).Draw(t, "read")
			got, gotErr = split.read(rest[:n])
			rest = rest[n:]
		}
		require.Equal(t, want, got)
		require.Equal(t, wantErr, gotErr)
		require.Equal(t, whole.requests, split.requests)
	})
}

// Guards against bytes of a line or header that exceed the limits and still reach the
// parser, which buffers them, whatever the bytes are.
func FuzzUnfinishedHeaderIsBounded(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n"), 3)
	f.Add([]byte("a:\r\n"), 1)
	f.Add([]byte("\r\n\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if len(data) == 0 || size < 1 {
			return
		}
		var m bytemeter.Meter
		passed := 0
		for n := 0; n < 4096; n += len(data) {
			for rest := data; len(rest) > 0; {
				p := m.Next(rest[:min(len(rest), size)], limits)
				if p.Violation != bytemeter.None {
					return
				}
				require.Positive(t, p.Size)
				if p.Kind != bytemeter.KindSkipped {
					passed += p.Size
				}
				rest = rest[p.Size:]
			}
			// 64 bytes are allowed for the method and version, and 4 for the framing of
			// each line.
			require.LessOrEqual(t, passed, limits.HeaderBytes+64+4*(limits.Fields+3))
		}
		require.Zero(t, passed, "data without end must be refused")
	})
}

// Guards against a refusal of requests at the limits, and against one that comes too
// late for requests beyond them.
func TestLimitsAreExact(t *testing.T) {
	fields := func(n int) string {
		return "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", n) + "\r\n"
	}
	chunked := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 2) + "Transfer-Encoding: chunked\r\nTrailer: b,c\r\n\r\n3\r\nabc\r\n0\r\n"
	for name, c := range map[string]struct {
		data string
		want bytemeter.Violation
	}{
		"fields":                  {fields(6), bytemeter.None},
		"too many fields":         {fields(7), bytemeter.TooManyFields},
		"empty lines":             {"\r\n\r\n" + fields(1), bytemeter.None},
		"too many empty lines":    {"\r\n\r\n\r\n" + fields(1), bytemeter.TooManyEmptyLines},
		"bare carriage return":    {"\r" + fields(1), bytemeter.BareCR},
		"line":                    {"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 95) + "\r\n\r\n", bytemeter.None},
		"line too long":           {"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 96) + "\r\n\r\n", bytemeter.LineTooLong},
		"header too large":        {"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 90) + "\r\nA: " + strings.Repeat("a", 90), bytemeter.HeaderTooLarge},
		"trailer":                 {chunked + "b:1\r\nc:1\r\n\r\n" + fields(6), bytemeter.None},
		"too many trailer fields": {strings.Replace(chunked, "a:\r\n", "a:\r\na:\r\n", 1) + "b:1\r\nc:1\r\n\r\n", bytemeter.TooManyFields},
		"chunk line too long":     {chunked[:len(chunked)-3] + "1;" + strings.Repeat("a", 120), bytemeter.LineTooLong},
		"chunks": {
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("C8;a\r\n"+strings.Repeat("0", 200)+"\r\n", 4) + "0\r\n\r\n" + fields(6),
			bytemeter.None,
		},
		"body with line feeds": {"POST / HTTP/1.1\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("\r\n", 200) + fields(6), bytemeter.None},
	} {
		t.Run(name, func(t *testing.T) {
			violation, err := newReader().read([]byte(c.data))
			require.NoError(t, err)
			require.Equal(t, c.want, violation)
		})
	}
}

// BenchmarkNext measures an ordinary header of 12 fields.
func BenchmarkNext(b *testing.B) {
	data := []byte("POST /v1/completions HTTP/1.1\r\n" + strings.Repeat("X-Field-Name: some value of a field\r\n", 12) + "\r\n")
	l := bytemeter.Limits{HeaderBytes: 16 << 10, LineBytes: 16 << 10, Fields: 4096, EmptyLines: 4}
	b.ReportAllocs()
	for b.Loop() {
		var m bytemeter.Meter
		for rest := data; len(rest) > 0; {
			rest = rest[m.Next(rest, l).Size:]
		}
	}
}
