package completion_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/request/completion"
)

// Guards against content that is lost, duplicated or added to the wrong choice
// when chunks are joined.
func TestChunksAreJoined(t *testing.T) {
	for name, test := range map[string]struct {
		chunks []string
		want   string
	}{
		"text": {
			[]string{
				`{"id":"g","object":"text_completion","created":7,"model":"m","choices":[{"index":0,"text":"a","logprobs":{"tokens":["a"],"token_logprobs":[-0.1]}}]}`,
				`{"id":"g","object":"text_completion","created":7,"model":"m","choices":[{"index":0,"text":"b\n","logprobs":{"tokens":["b"],"token_logprobs":[-0.2]},"finish_reason":"stop","stop_reason":42}]}`,
				`{"id":"g","object":"text_completion","created":7,"model":"m","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}}`,
			},
			`{"id":"g","object":"text_completion","created":7,"model":"m","choices":[{"index":0,"text":"ab\n","logprobs":{"tokens":["a","b"],"token_logprobs":[-0.1,-0.2]},"finish_reason":"stop","stop_reason":42}],"usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}}`,
		},
		"chat with two choices": {
			[]string{
				`{"id":"g","object":"chat.completion.chunk","created":7,"model":"m","system_fingerprint":"f","choices":[{"index":1,"delta":{"role":"assistant","content":"x"}}]}`,
				`{"id":"g","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"y"},"finish_reason":null}]}`,
				`{"id":"g","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":1,"delta":{"content":"z"},"finish_reason":"length"},{"index":0,"delta":{},"finish_reason":"stop"}]}`,
			},
			`{"id":"g","object":"chat.completion","created":7,"model":"m","system_fingerprint":"f","choices":[{"index":0,"message":{"role":"assistant","content":"y","refusal":null},"logprobs":null,"finish_reason":"stop"},{"index":1,"message":{"role":"assistant","content":"xz","refusal":null},"logprobs":null,"finish_reason":"length"}]}`,
		},
		"tool calls": {
			[]string{
				`{"id":"g","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c","type":"function","function":{"name":"book","arguments":""}}]}}]}`,
				`{"id":"g","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"n\":"}}]}}]}`,
				`{"id":"g","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"1}"}}]},"finish_reason":"tool_calls"}]}`,
			},
			`{"id":"g","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":null,"refusal":null,"tool_calls":[{"id":"c","type":"function","function":{"name":"book","arguments":"{\"n\":1}"}}]},"logprobs":null,"finish_reason":"tool_calls"}]}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var c completion.Completion
			for _, data := range test.chunks {
				require.NoError(t, c.Add([]byte(data)))
			}
			got, err := c.Encode()
			require.NoError(t, err)
			require.JSONEq(t, test.want, string(got))
		})
	}
}

// Guards against an empty response for a generation without chunks, and against
// a malformed chunk that is accepted.
func TestMissingAndMalformedChunksAreErrors(t *testing.T) {
	var c completion.Completion
	_, err := c.Encode()
	require.Error(t, err)
	require.Error(t, c.Add([]byte(`{"id":`)))
}
