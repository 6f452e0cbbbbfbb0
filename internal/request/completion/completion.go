package completion

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Values of the field "object" of responses.
const (
	objectChat = "chat.completion"
	objectText = "text_completion"
)

// Completion accumulates chunks. Its zero value is ready for use. It is not safe
// for concurrent use.
type Completion struct {
	head    chunk
	chat    bool
	started bool
	choices []*choice
}

// chunk is one chunk of a streamed response.
type chunk struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           json.RawMessage `json:"created,omitempty"`
	Model             string          `json:"model"`
	ServiceTier       json.RawMessage `json:"service_tier,omitempty"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	Usage             json.RawMessage `json:"usage,omitempty"`
	Choices           []part          `json:"choices"`
}

// part is what one chunk adds to one choice. The name must not change:
// encoding/json puts it into errors, which callers see in the detail of a
// malformed_chunk problem.
type part struct {
	Index        int                        `json:"index"`
	Text         string                     `json:"text"`
	Delta        *delta                     `json:"delta"`
	LogProbs     map[string]json.RawMessage `json:"logprobs"`
	FinishReason json.RawMessage            `json:"finish_reason"`
	StopReason   json.RawMessage            `json:"stop_reason"`
}

type delta struct {
	Role             string     `json:"role"`
	Content          *string    `json:"content"`
	Refusal          *string    `json:"refusal"`
	ReasoningContent *string    `json:"reasoning_content"`
	ToolCalls        []toolCall `json:"tool_calls"`
}

type toolCall struct {
	Index    int      `json:"index"`
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function function `json:"function"`
}

type function struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// choice is the accumulated content of one choice.
type choice struct {
	index                                int
	role                                 string
	text, content, refusal, reasoning    strings.Builder
	hasContent, hasRefusal, hasReasoning bool
	calls                                []*toolCall
	logProbs                             map[string][]json.RawMessage
	finishReason, stopReason             json.RawMessage
}

// Add adds the next chunk of the generation, as JSON.
func (c *Completion) Add(data []byte) error {
	var next chunk
	if err := json.Unmarshal(data, &next); err != nil {
		return errors.Wrap(err, "decode chunk")
	}
	if !c.started {
		c.head = next
		c.chat = strings.HasPrefix(next.Object, "chat.")
		c.started = true
	}
	if present(next.Usage) {
		c.head.Usage = next.Usage
	}
	for i := range next.Choices {
		c.choice(next.Choices[i].Index).add(&next.Choices[i])
	}
	return nil
}

func (c *Completion) choice(index int) *choice {
	i := slices.IndexFunc(c.choices, func(o *choice) bool { return o.index == index })
	if i >= 0 {
		return c.choices[i]
	}
	added := &choice{index: index, logProbs: make(map[string][]json.RawMessage)}
	c.choices = append(c.choices, added)
	return added
}

func (o *choice) add(p *part) {
	o.text.WriteString(p.Text)
	if p.Delta != nil {
		o.addDelta(p.Delta)
	}
	for name, list := range p.LogProbs {
		o.addLogProbs(name, list)
	}
	if present(p.FinishReason) {
		o.finishReason = p.FinishReason
	}
	if present(p.StopReason) {
		o.stopReason = p.StopReason
	}
}

func (o *choice) addDelta(d *delta) {
	if d.Role != "" {
		o.role = d.Role
	}
	appendText(&o.content, &o.hasContent, d.Content)
	appendText(&o.refusal, &o.hasRefusal, d.Refusal)
	appendText(&o.reasoning, &o.hasReasoning, d.ReasoningContent)
	for i := range d.ToolCalls {
		o.addToolCall(&d.ToolCalls[i])
	}
}

func appendText(b *strings.Builder, has *bool, text *string) {
	if text != nil {
		*has = true
		b.WriteString(*text)
	}
}

func (o *choice) addToolCall(t *toolCall) {
	i := slices.IndexFunc(o.calls, func(known *toolCall) bool { return known.Index == t.Index })
	if i < 0 {
		added := *t
		o.calls = append(o.calls, &added)
		return
	}
	known := o.calls[i]
	if t.ID != "" {
		known.ID = t.ID
	}
	if t.Type != "" {
		known.Type = t.Type
	}
	known.Function.Name += t.Function.Name
	known.Function.Arguments += t.Function.Arguments
}

// addLogProbs appends a list of the log probabilities object, such as "content"
// or "tokens". Values that are not lists are ignored.
func (o *choice) addLogProbs(name string, list json.RawMessage) {
	var elements []json.RawMessage
	if json.Unmarshal(list, &elements) != nil || elements == nil {
		return
	}
	o.logProbs[name] = append(o.logProbs[name], elements...)
}

func present(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// fullResponse is the response object.
type fullResponse struct {
	ID                string           `json:"id"`
	Object            string           `json:"object"`
	Created           json.RawMessage  `json:"created,omitempty"`
	Model             string           `json:"model"`
	Choices           []responseChoice `json:"choices"`
	Usage             json.RawMessage  `json:"usage,omitempty"`
	ServiceTier       json.RawMessage  `json:"service_tier,omitempty"`
	SystemFingerprint json.RawMessage  `json:"system_fingerprint,omitempty"`
}

type responseChoice struct {
	Index        int                          `json:"index"`
	Text         *string                      `json:"text,omitempty"`
	Message      *message                     `json:"message,omitempty"`
	LogProbs     map[string][]json.RawMessage `json:"logprobs"`
	FinishReason json.RawMessage              `json:"finish_reason"`
	StopReason   json.RawMessage              `json:"stop_reason,omitempty"`
}

type message struct {
	Role             string             `json:"role"`
	Content          *string            `json:"content"`
	Refusal          *string            `json:"refusal"`
	ReasoningContent *string            `json:"reasoning_content,omitempty"`
	ToolCalls        []responseToolCall `json:"tool_calls,omitempty"`
}

// responseToolCall is a toolCall without the index, which only chunks have.
type responseToolCall struct {
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function function `json:"function"`
}

// Encode returns the response object of all chunks so far.
func (c *Completion) Encode() ([]byte, error) {
	if !c.started {
		return nil, errors.New("a generation without chunks has no response")
	}
	response := fullResponse{
		ID: c.head.ID, Object: objectText, Created: c.head.Created, Model: c.head.Model,
		Choices: make([]responseChoice, 0, len(c.choices)), Usage: c.head.Usage,
		ServiceTier: c.head.ServiceTier, SystemFingerprint: c.head.SystemFingerprint,
	}
	if c.chat {
		response.Object = objectChat
	}
	slices.SortFunc(c.choices, func(a, b *choice) int { return a.index - b.index })
	for _, o := range c.choices {
		response.Choices = append(response.Choices, o.response(c.chat))
	}
	data, err := json.Marshal(response)
	return data, errors.Wrap(err, "encode completion")
}

func (o *choice) response(chat bool) responseChoice {
	w := responseChoice{Index: o.index, FinishReason: o.finishReason, StopReason: o.stopReason}
	if len(w.FinishReason) == 0 {
		w.FinishReason = json.RawMessage("null")
	}
	if len(o.logProbs) > 0 {
		w.LogProbs = o.logProbs
	}
	if chat {
		w.Message = o.message()
		return w
	}
	text := o.text.String()
	w.Text = &text
	return w
}

func (o *choice) message() *message {
	m := &message{
		Role:             o.role,
		Content:          textOrNil(&o.content, o.hasContent),
		Refusal:          textOrNil(&o.refusal, o.hasRefusal),
		ReasoningContent: textOrNil(&o.reasoning, o.hasReasoning),
	}
	if m.Role == "" {
		m.Role = "assistant"
	}
	for _, t := range o.calls {
		m.ToolCalls = append(m.ToolCalls, responseToolCall{ID: t.ID, Type: t.Type, Function: t.Function})
	}
	return m
}

func textOrNil(b *strings.Builder, has bool) *string {
	if !has {
		return nil
	}
	text := b.String()
	return &text
}
