package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	openai "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/connection/listener"
	"github.com/flamingohold/flamingohold/internal/connection/stream"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// Guards against requests without a valid account key, and against access to
// peer and admin endpoints through the caller listener.
func TestAccessRequiresCredentials(t *testing.T) {
	h := newFakeSidecar(t, "h1", "hire")
	f := newFixture(t, h)
	for path, want := range map[string]int{
		"/v1/models": http.StatusOK, "/v1/models/m": http.StatusOK, "/v1/models/x": http.StatusNotFound,
		"/v1/state": http.StatusNotFound, "/v1/configuration/manifest": http.StatusNotFound, "/v1/demand": http.StatusNotFound,
		"/metrics": http.StatusNotFound, "/debug/pprof/": http.StatusNotFound, "/drain": http.StatusNotFound, "/": http.StatusNotFound,
	} {
		require.Equal(t, want, f.do(t, http.MethodGet, path, "").status, path)
		for _, authorization := range []string{"", "Bearer ", "Bearer wrong", "Basic key-bakery", "Bearer " + peerSecret, "Bearer bakery"} {
			o := f.do(t, http.MethodGet, path, "", withHeader("Authorization", authorization))
			require.Equal(t, http.StatusUnauthorized, o.status, path)
			require.Equal(t, problem.OutcomeRejected, o.problem.Outcome)
		}
	}
	for authorization, want := range map[string]int{"": 401, "Bearer key-bakery": 401, "Bearer " + peerSecret: 200} {
		request, err := http.NewRequest(http.MethodGet, "http://"+f.peers.Address()+"/v1/state", nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", authorization)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, want, response.StatusCode)
	}
	attempts, _, _, _ := h.received()
	require.Empty(t, attempts)
}

// Guards against order keys that cannot be obtained, and against a key that is
// accepted for another service than the one it was minted for.
func TestOrderKeyRequest(t *testing.T) {
	f := newFixture(t, newFakeSidecar(t, "h1", "hire"), newFakeSidecar(t, "e1", "pool"))
	o := f.do(t, http.MethodPost, orderKeysPath+"?service=hire", "")
	require.Equal(t, http.StatusCreated, o.status)
	require.JSONEq(t, `{"order_key":"fhk1.h1.inc.1"}`, o.body)
	require.Equal(t, http.StatusCreated, f.do(t, http.MethodPost, orderKeysPath, `{"path":"/hire/bookings"}`).status)
	require.Equal(t, http.StatusNotFound, f.do(t, http.MethodPost, orderKeysPath+"?service=pool", "").status)
	require.Equal(t, http.StatusMethodNotAllowed, f.do(t, http.MethodGet, orderKeysPath+"?service=hire", "").status)
	o = f.do(t, http.MethodPost, "/hire/bookings", "", withHeader(orderKeyHeader, "fhk1.e1.inc.1"))
	require.Equal(t, http.StatusUnprocessableEntity, o.status)
}

// Guards against request smuggling, where an intermediary and the gateway
// disagree on a request's length, and against request bodies of unlimited size.
func TestAmbiguousLengthsAndOversizedBodiesAreRejected(t *testing.T) {
	h := newFakeSidecar(t, "h1", "hire")
	f := newFixture(t, h)
	for _, header := range []string{"Content-Length: 4\r\nTransfer-Encoding: chunked", "Content-Length: 0\r\nContent-Length: 5"} {
		c, err := net.Dial("tcp", f.callers.Address())
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		_, err = io.WriteString(c, "POST /hire/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-bakery\r\n"+header+
			"\r\n\r\n0\r\n\r\nPOST /hire/y HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-bakery\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
		_ = c.Close()
	}
	o := f.do(t, http.MethodPost, "/hire/bookings", strings.Repeat("x", 1<<20+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, o.status)
	attempts, _, _, _ := h.received()
	require.Empty(t, attempts)
}

// Guards against responses that the official OpenAI client library cannot read.
func TestOpenAIClientIsServed(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	chunk := func(seq uint64, rest string) frame.Frame {
		return frame.Frame{Kind: frame.KindToken, Seq: seq, Data: []byte(`{"id":"e1.a.1","object":"chat.completion.chunk","created":1,"model":"m","choices":[` + rest + `}`)}
	}
	answer := func(s *fakeStream, _ *attempt.Attempt) {
		s.send(acceptedFrame("e1.a.1"),
			chunk(1, `{"index":0,"delta":{"role":"assistant","content":"Two "}}]`),
			chunk(2, `{"index":0,"delta":{"content":"stands"},"finish_reason":"stop"}]`),
			chunk(3, `],"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7}`), endFrame(3))
	}
	broken := func(s *fakeStream, _ *attempt.Attempt) {
		s.send(acceptedFrame("e1.a.1"), chunk(1, `{"index":0,"delta":{"content":"Two "}}]`), failedFrame(problem.Incomplete("generation_failed", "engine died")))
	}
	e.offers = []offerScript{answer, answer, broken}
	f := newFixture(t, e)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := openai.NewClient(option.WithAPIKey("key-bakery"), option.WithBaseURL("http://"+f.callers.Address()+"/v1/"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("quote")}}

	complete, err := client.Chat.Completions.New(ctx, params)
	require.NoError(t, err)
	require.Equal(t, "Two stands", complete.Choices[0].Message.Content)
	require.Equal(t, "stop", complete.Choices[0].FinishReason)
	require.EqualValues(t, 7, complete.Usage.TotalTokens)

	for _, want := range []string{"Two stands", "Two "} {
		text := ""
		streaming := client.Chat.Completions.NewStreaming(ctx, params)
		for streaming.Next() {
			for _, c := range streaming.Current().Choices {
				text += c.Delta.Content
			}
		}
		require.Equal(t, want, text)
		if want == "Two " {
			require.ErrorContains(t, streaming.Err(), "engine died")
		} else {
			require.NoError(t, streaming.Err())
		}
	}

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Equal(t, "m", models.Data[0].ID)
	params.Model = "other"
	_, err = client.Chat.Completions.New(ctx, params)
	var failure *openai.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, "model_not_found", failure.Code)
}

// Guards guarantee G8 of docs/design.md: a gateway that shuts down finishes its
// running streams and accepts no new connections.
func TestShutdownFinishesStreams(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	release := make(chan struct{})
	e.offers = []offerScript{func(s *fakeStream, _ *attempt.Attempt) {
		s.send(acceptedFrame("e1.a.1"))
		s.send(tokenFrames("e1.a.1", 1, 2)...)
		for {
			s.send(frame.Frame{Kind: frame.KindHeartbeat})
			select {
			case <-release:
				s.send(tokenFrames("e1.a.1", 3, 5)...)
				s.send(endFrame(5))
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}}
	f := newFixture(t, e)
	request := f.request(t, http.MethodPost, completionsPath, streamedBody)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() {
		stopped <- f.gateway.shutdown(context.Background(), []*listener.Listener{f.callers, f.peers, f.admin})
	}()
	require.Eventually(t, func() bool {
		_, err := net.Dial("tcp", f.callers.Address())
		return err != nil
	}, testTimeout, 10*time.Millisecond)
	require.Empty(t, stopped)
	close(release)
	var o outcome
	o.readEvents(t, response.Body)
	o.requireTokens(t, "e1.a.1", 1, 5)
	require.True(t, o.done)
	require.NoError(t, <-stopped)
}

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// Guards against memory allocation for each forwarded token.
func TestTokensAreForwardedWithoutAllocation(t *testing.T) {
	forward := newTokenForwarder(t)
	require.Zero(t, testing.AllocsPerRun(1000, forward))
}

func BenchmarkForwardToken(b *testing.B) {
	forward := newTokenForwarder(b)
	b.ReportAllocs()
	for b.Loop() {
		forward()
	}
}

// newTokenForwarder returns a function that decodes one token frame and writes
// the token to the caller.
func newTokenForwarder(t testing.TB) func() {
	s := &session{gateway: &Gateway{dependencies: dependencies{clock: time.Now}, metrics: newMetrics(tally.NoopScope)}, writer: stream.New(discardWriter{http.Header{}})}
	g := &generation{session: s, sink: &eventStreamSink{session: s}}
	require.NoError(t, g.tracker.Accept("e1.a.1"))
	var decoder frame.Decoder
	var line []byte
	data := []byte(`{"id":"e1.a.1","object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":" stand","finish_reason":null}]}`)
	return func() {
		g.bytesSinceCheckpoint = 0
		line = frame.AppendToken(line[:0], g.tracker.Position()+1, data)
		if err := decoder.Decode(line, &g.frame); err != nil {
			t.Fatal(err)
		}
		if _, _, err := g.handleFrame(&g.frame); err != nil {
			t.Fatal(err)
		}
	}
}
