package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// chunk is an OpenAI completion object: a complete response or one chunk of a
// stream.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int        `json:"index"`
	Text         *string    `json:"text,omitempty"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Message      *chatDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (s *sequence) newChunk(object string) chunk {
	return chunk{ID: s.ID, Object: object, Created: s.arrived.Unix(), Model: s.Model, Choices: make([]choice, 1)}
}

func (s *sequence) usage() *usage {
	return &usage{s.promptTokens, s.outputTokens, s.promptTokens + s.outputTokens}
}

// tokenChunk returns the stream chunk of one token; number counts from 1.
func (s *sequence) tokenChunk(number int) chunk {
	object := "text_completion"
	if s.Chat {
		object = "chat.completion.chunk"
	}
	c := s.newChunk(object)
	content := TokenText(s.ID, s.Prompt, number)
	if s.Chat {
		c.Choices[0].Delta = &chatDelta{Content: content}
		if number == 1 {
			c.Choices[0].Delta.Role = "assistant"
		}
	} else {
		c.Choices[0].Text = &content
	}
	if number == s.outputTokens {
		reason := s.finishReason
		c.Choices[0].FinishReason = &reason
		c.Usage = s.usage()
	}
	return c
}

// completion returns the complete, non-streamed response.
func (s *sequence) completion() chunk {
	object := "text_completion"
	if s.Chat {
		object = "chat.completion"
	}
	c := s.newChunk(object)
	content := Output(s.ID, s.Prompt, s.outputTokens)
	if s.Chat {
		c.Choices[0].Message = &chatDelta{Role: "assistant", Content: content}
	} else {
		c.Choices[0].Text = &content
	}
	reason := s.finishReason
	c.Choices[0].FinishReason = &reason
	c.Usage = s.usage()
	return c
}

// progress returns the number of generated tokens, whether the sequence is
// finished, and a channel that is closed on the next change.
func (e *Engine) progress(s *sequence) (generated int, finished bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, !s.finished.IsZero(), s.changed
}

// await blocks until the sequence has generated more than n tokens or is finished.
func (e *Engine) await(ctx context.Context, s *sequence, n int) (generated int, finished bool, err error) {
	for {
		if err := e.blockOnFault(ctx); err != nil {
			return 0, false, err
		}
		generated, finished, changed := e.progress(s)
		if generated > n || finished {
			return generated, finished, nil
		}
		select {
		case <-ctx.Done():
			return 0, false, ctx.Err()
		case <-changed:
		}
	}
}

// stream sends the tokens with numbers above after as server-sent events. The
// stream of a cancelled sequence ends without [DONE].
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		generated, finished, err := e.await(r.Context(), s, after)
		if err != nil {
			return
		}
		for after < generated {
			after++
			if e.takeStreamError() {
				_, _ = fmt.Fprintf(w, "id: %d\nevent: error\ndata: {\"error\":{\"message\":\"injected\"}}\n\n", after)
				return
			}
			if writeEvent(w, after, s.tokenChunk(after)) != nil {
				return
			}
		}
		if finished {
			break
		}
		_ = flusher.Flush()
	}
	if s.finishReason != finishCancelled {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func writeEvent(w http.ResponseWriter, id int, c chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", id, data)
	_, err = w.Write([]byte(b.String()))
	return err
}

// respondNonStreaming waits until the sequence is finished and sends the complete
// response.
func (e *Engine) respondNonStreaming(w http.ResponseWriter, r *http.Request, s *sequence) {
	n := 0
	for {
		generated, finished, err := e.await(r.Context(), s, n)
		if err != nil {
			return
		}
		if finished {
			break
		}
		n = generated
	}
	if s.finishReason == finishCancelled {
		writeError(w, http.StatusConflict, "request was cancelled")
		return
	}
	writeJSON(w, http.StatusOK, s.completion())
}
