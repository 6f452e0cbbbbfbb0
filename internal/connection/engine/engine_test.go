package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/connection/engine"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

// serve returns a client of a server that answers every request with the body.
func serve(t *testing.T, body string) *engine.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return engine.New(strings.TrimPrefix(server.URL, "http://"))
}

func event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// Guards against duplicate tokens, undetected gaps, and a truncated stream that is
// accepted as complete.
func TestStreamChecksTokens(t *testing.T) {
	for name, test := range map[string]struct {
		body   string
		tokens []string
		err    error
	}{
		"complete":             {event(3, "1") + event(4, "2") + "data: [DONE]\n\n", []string{"1", "2"}, io.EOF},
		"duplicate":            {event(2, "0") + event(3, "1") + event(3, "1") + "data: [DONE]\n\n", []string{"1"}, io.EOF},
		"gap":                  {event(4, "1"), nil, engine.ErrGap},
		"truncated":            {event(3, "1") + "id: 4\ndata: 2", []string{"1"}, engine.ErrTruncated},
		"error":                {event(3, "1") + "data: {\"error\":{}}\n\n", []string{"1"}, engine.ErrProtocol},
		"numbered error":       {event(3, "1") + event(4, " {\"error\":{\"message\":\"overloaded\"}}"), []string{"1"}, engine.ErrProtocol},
		"error object":         {event(3, `{"object":"error","message":"overloaded"}`), nil, engine.ErrProtocol},
		"numbered error event": {"id: 3\nevent: error\ndata: {}\n\n", nil, engine.ErrProtocol},
		"error at the end":     {event(3, "1") + "event: error\ndata: [DONE]\n\n", []string{"1"}, engine.ErrProtocol},
		"head":                 {event(3, "1") + "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}", []string{"1"}, engine.ErrTruncated},
		"lines":                {"id: 3\ndata: [1,\ndata: 2]\n\n", []string{"[1,2]"}, engine.ErrTruncated},
		"not JSON":             {event(3, "{"), nil, engine.ErrProtocol},
		"no number":            {"data: 1\n\n", nil, engine.ErrProtocol},
	} {
		t.Run(name, func(t *testing.T) {
			stream, err := serve(t, test.body).Resume(context.Background(), "g", 2)
			require.NoError(t, err)
			defer stream.Close()
			for i, want := range test.tokens {
				seq, data, err := stream.Next()
				require.NoError(t, err)
				require.EqualValues(t, 3+i, seq)
				require.Equal(t, want, string(data))
			}
			_, _, err = stream.Next()
			require.ErrorIs(t, err, test.err)
		})
	}
}

// Guards against waiting for ever on a connection that stopped delivering data.
func TestIdleStreamIsClosed(t *testing.T) {
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, event(1, "1"))
		_ = http.NewResponseController(w).Flush()
		<-stop
	}))
	defer server.Close()
	defer close(stop)
	stream, err := engine.New(strings.TrimPrefix(server.URL, "http://")).Resume(context.Background(), "g", 0)
	require.NoError(t, err)
	defer stream.Close()
	_, _, err = stream.Next()
	require.NoError(t, err)
	_, _, err = stream.Next()
	require.ErrorIs(t, err, engine.ErrIdleTimeout)
}

// Guards against a generation that cannot be resumed because the engine uses
// another identifier, and against a caller that sets the identifier.
func TestStartSetsTheSidecarFields(t *testing.T) {
	var fields map[string]any
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&fields)
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, "too long")
	}))
	defer server.Close()
	client := engine.New(strings.TrimPrefix(server.URL, "http://"))
	body := []byte(`{"request_id":"forged","stream":false,"prompt":"cake","seed":9007199254740993}`)
	_, err := client.Start(context.Background(), "/v1/completions", body, "i.c.1", 3)
	var refusal *engine.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, http.StatusBadRequest, refusal.Status)
	require.Equal(t, "too long", string(refusal.Body))
	require.Equal(t, "i.c.1", fields["request_id"])
	require.Equal(t, true, fields["stream"])
	require.EqualValues(t, 3, fields["priority"])
	require.Equal(t, "cake", fields["prompt"])
	_, err = client.Start(context.Background(), "/v1/completions", []byte("null"), "i.c.1", 0)
	require.Error(t, err)
}

// Guards against wrong or missing load values from an engine's metrics.
func TestMetrics(t *testing.T) {
	client := serve(t, `# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model_name="a"} 2
vllm:num_requests_running{model_name="b"} 3
vllm:num_requests_waiting 1
# TYPE vllm:kv_cache_usage_perc gauge
vllm:kv_cache_usage_perc 0.5
# TYPE vllm:num_preemptions_total counter
vllm:num_preemptions_total 7
# TYPE vllm:cache_config_info gauge
vllm:cache_config_info{block_size="16",num_gpu_blocks="100"} 1
process_start_time_seconds 1000.5
`)
	metrics, err := client.Metrics(context.Background())
	require.NoError(t, err)
	want := engine.Metrics{
		Running: 5, Waiting: 1, UsedMemory: 0.5, Preemptions: 7, MemoryTokens: 1600, StartSeconds: 1000.5,
	}
	require.Equal(t, want, metrics)
}

// Guards against an answer with a malformed head that counts as the engine's refusal, which
// callers get, or as the success of a cancellation.
func TestAnswerWithAMalformedHeadIsAnError(t *testing.T) {
	address := rawanswer.Serve(t, "HTTP/1.1 000 Error\r\nContent-Length: 2\r\n\r\n{}")
	client := engine.New(address)
	_, err := client.Start(t.Context(), "/v1/completions", []byte("{}"), "g", 0)
	require.ErrorIs(t, err, answerhead.ErrMalformed)
	require.ErrorIs(t, client.Cancel(t.Context(), "g"), answerhead.ErrMalformed)
}

// Guards against a part of an early answer that is used: the engine reset the connection while a
// large prompt was being written. A part of an error is no refusal, which callers get, and a part
// of a stream is not its end.
func TestEarlyAnswerThatAResetCutsIsAnError(t *testing.T) {
	body, err := json.Marshal(map[string]string{"prompt": strings.Repeat("x", 1<<18)})
	require.NoError(t, err)
	refusing := engine.New(rawanswer.ServeEarly(t, "HTTP/1.1 400 Bad Request\r\n\r\ntoo lo", rawanswer.Reset))
	streaming := engine.New(rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {}\n\n", rawanswer.Reset))
	refusals := 0
	for range 200 {
		_, err := refusing.Start(t.Context(), "/v1/completions", body, "g", 0)
		require.Error(t, err)
		var refusal *engine.Refusal
		if errors.As(err, &refusal) {
			refusals++
		}
		requireTruncated(t, streaming, body)
	}
	require.Zero(t, refusals, "parts of refusals returned as refusals")
}

// requireTruncated requires that a stream of the engine is not complete.
func requireTruncated(t *testing.T, client *engine.Client, body []byte) {
	t.Helper()
	stream, err := client.Start(t.Context(), "/v1/completions", body, "g", 0)
	for err == nil {
		_, _, err = stream.Next()
	}
	require.NotErrorIs(t, err, io.EOF)
}
