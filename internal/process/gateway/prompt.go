package gateway

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// bytesPerToken estimates the prompt's length. English text has about four
	// bytes a token; JSON and other languages have fewer.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt's beginning by which prompts that
	// share a cached prefix are recognised.
	prefixBytes = 1024
)

// prompt is a generation request of the OpenAI interface.
type prompt struct {
	model     string
	stream    bool
	maxTokens int
	// tokens is an estimate of the prompt's length.
	tokens int
	// prefix is a hash of the model and the prompt's beginning.
	prefix uint64
	// body is the request for the engine.
	body []byte
}

// promptFields are the fields of a request that the gateway reads.
type promptFields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

// parsePrompt reads a request. The engine is always asked to stream, so that
// tokens are numbered and a lost link can be resumed. All other fields reach
// the engine as they are.
func parsePrompt(body []byte) (prompt, error) {
	var fields promptFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return prompt{}, errors.Wrap(err, "decode request")
	}
	if fields.Model == "" {
		return prompt{}, errors.New("model is missing")
	}
	content := fields.Prompt
	if content == nil {
		content = fields.Messages
	}
	p := prompt{
		model:     fields.Model,
		stream:    fields.Stream,
		maxTokens: max(fields.MaxTokens, fields.MaxCompletionTokens),
		tokens:    len(content)/bytesPerToken + 1,
		prefix:    prefixOf(fields.Model, content),
	}
	var err error
	p.body, err = engineBody(body, fields.Stream)
	return p, err
}

func prefixOf(model string, content []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(content[:min(len(content), prefixBytes)])
	return hash.Sum64()
}

// engineBody sets the fields that are not the caller's to choose. The usage of
// an answer that is not streamed comes in its last chunk.
func engineBody(body []byte, streamed bool) ([]byte, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	delete(all, "request_id")
	delete(all, "priority")
	all["stream"] = json.RawMessage("true")
	if !streamed {
		all["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(all)
	return b.Bytes(), errors.Wrap(err, "encode request")
}
