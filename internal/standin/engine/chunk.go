package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// chunk is an OpenAI completion, whole or in part.
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
	return &usage{s.promptTokens, s.length, s.promptTokens + s.length}
}

// token returns the chunk of the token with the number.
func (s *sequence) token(number int) chunk {
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
	if number == s.length {
		reason := s.reason
		c.Choices[0].FinishReason = &reason
		c.Usage = s.usage()
	}
	return c
}

// whole returns the answer in one piece.
func (s *sequence) whole() chunk {
	object := "text_completion"
	if s.Chat {
		object = "chat.completion"
	}
	c := s.newChunk(object)
	content := Output(s.ID, s.Prompt, s.length)
	if s.Chat {
		c.Choices[0].Message = &chatDelta{Role: "assistant", Content: content}
	} else {
		c.Choices[0].Text = &content
	}
	reason := s.reason
	c.Choices[0].FinishReason = &reason
	c.Usage = s.usage()
	return c
}

// progress returns the number of tokens, whether there will be no more, and a
// channel that is closed on the next change.
func (e *Engine) progress(s *sequence) (generated int, finished bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, !s.finished.IsZero(), s.changed
}

// await blocks until the sequence has more than n tokens or is finished.
func (e *Engine) await(ctx context.Context, s *sequence, n int) (generated int, finished bool, err error) {
	for {
		if err := e.pass(ctx); err != nil {
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

// stream sends the tokens after the given number as server-sent events. A
// cancelled sequence ends without [DONE].
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
			if writeEvent(w, after, s.token(after)) != nil {
				return
			}
		}
		if finished {
			break
		}
		_ = flusher.Flush()
	}
	if s.reason != finishCancelled {
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

// answerWhole sends the answer when it is complete.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, s *sequence) {
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
	if s.reason == finishCancelled {
		writeError(w, http.StatusConflict, "request was cancelled")
		return
	}
	writeJSON(w, http.StatusOK, s.whole())
}
