package gateway

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// bytesPerToken is the ratio by which the prompt's length in tokens is
	// estimated. English text has about four bytes per token; JSON and other
	// languages have fewer.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed to recognise
	// prompts that share cached content.
	prefixBytes = 1024
)

// generationRequest is a completion request of the OpenAI API.
type generationRequest struct {
	model     string
	stream    bool
	maxTokens int
	// tokens is the estimated length of the prompt.
	tokens int
	// prefix is a hash of the model and the first prefixBytes of the prompt.
	prefix uint64
	// body is the request body for the engine.
	body []byte
}

// promptFields are the fields of the request body that the gateway reads. The
// type keeps this name because encoding/json includes it in errors that callers
// see in the detail of a malformed_request problem.
type promptFields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

// parseGenerationRequest parses a request body. The body for the engine always
// requests streaming, so that tokens are numbered and a generation can be resumed
// after its link is lost. Fields that engineBody does not change are forwarded
// unchanged.
func parseGenerationRequest(body []byte) (generationRequest, error) {
	var fields promptFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return generationRequest{}, errors.Wrap(err, "decode request")
	}
	if fields.Model == "" {
		return generationRequest{}, errors.New("model is missing")
	}
	content := fields.Prompt
	if content == nil {
		content = fields.Messages
	}
	gr := generationRequest{
		model:     fields.Model,
		stream:    fields.Stream,
		maxTokens: max(fields.MaxTokens, fields.MaxCompletionTokens),
		tokens:    len(content)/bytesPerToken + 1,
		prefix:    hashPrefix(fields.Model, content),
	}
	var err error
	gr.body, err = engineBody(body, fields.Stream)
	return gr, err
}

func hashPrefix(model string, content []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(content[:min(len(content), prefixBytes)])
	return hash.Sum64()
}

// engineBody returns the body for the engine: without the fields request_id and
// priority, which callers must not set, and with streaming enabled. If the caller
// did not request streaming, it also requests the usage, which the engine sends
// in the last chunk.
func engineBody(body []byte, streamed bool) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	delete(fields, "request_id")
	delete(fields, "priority")
	fields["stream"] = json.RawMessage("true")
	if !streamed {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(fields)
	return b.Bytes(), errors.Wrap(err, "encode request")
}
