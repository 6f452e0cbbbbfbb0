package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	maxBodyBytes      = 16 << 20
	eventPollInterval = 100 * time.Millisecond
)

// Handler serves the engine protocol and, under /admin, fault injection and the
// engine's state.
func (e *Engine) Handler() http.Handler {
	protocol := http.NewServeMux()
	protocol.HandleFunc("POST /v1/completions", e.handleCompletion)
	protocol.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	protocol.HandleFunc("GET /v1/completions/{id}", e.handleResume)
	protocol.HandleFunc("DELETE /v1/completions/{id}", e.handleCancel)
	protocol.HandleFunc("GET /v1/models", e.handleModels)
	protocol.HandleFunc("GET /metrics", e.handleMetrics)
	protocol.HandleFunc("GET /kv-events", e.handleEvents)
	protocol.HandleFunc("POST /orders", e.handleControl)
	protocol.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.controlReport())
	})
	root := http.NewServeMux()
	root.HandleFunc("POST /admin/fault", e.handleFault)
	root.HandleFunc("GET /admin/state", e.handleState)
	root.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if e.blockOnFault(r.Context()) == nil {
			protocol.ServeHTTP(w, r)
		}
	})
	return root
}

// completionBody holds the fields of an OpenAI completion request that the engine
// reads.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	Stream              bool            `json:"stream"`
	RequestID           string          `json:"request_id"`
	Priority            int             `json:"priority"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (b *completionBody) request(chat bool) Request {
	r := Request{ID: b.RequestID, Model: b.Model, Priority: b.Priority, MaxTokens: b.MaxTokens, Chat: chat}
	if r.ID == "" {
		r.ID = "cmpl-" + uuid.NewString()
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = b.MaxCompletionTokens
	}
	r.Prompt = text(b.Prompt)
	if chat {
		r.Prompt = chatPrompt(b.Messages)
	}
	return r
}

// chatPrompt joins the contents of the messages with line breaks.
func chatPrompt(messages []message) string {
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = text(m.Content)
	}
	return strings.Join(parts, "\n")
}

// text returns the content of a JSON string, and other JSON unchanged.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	chat := strings.HasPrefix(r.URL.Path, "/v1/chat/")
	s, err := e.submit(body.request(chat), time.Now())
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if body.Stream {
		e.stream(w, r, s, lastEventID(r))
		return
	}
	e.respondNonStreaming(w, r, s)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.sequences[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	e.stream(w, r, s, lastEventID(r))
}

func lastEventID(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(r.PathValue("id"), time.Now()) {
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	var list struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	list.Object = "list"
	for _, name := range e.controlReport().Models {
		list.Data = append(list.Data, model{name, "model", 0, "standin"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	load := e.laggedReport(time.Now())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprintf(w, `# TYPE vllm:num_requests_running gauge
vllm:num_requests_running %d
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting %d
# TYPE vllm:kv_cache_usage_perc gauge
vllm:kv_cache_usage_perc %g
# TYPE vllm:num_preemptions_total counter
vllm:num_preemptions_total %d
# TYPE vllm:cache_config_info gauge
vllm:cache_config_info{block_size="%d",num_gpu_blocks="%d"} 1
# TYPE process_start_time_seconds gauge
process_start_time_seconds %.3f
`, load.running, load.waiting, load.usedFraction, load.preemptions, blockTokens, e.memory.capacity, float64(e.started.UnixMilli())/1000)
}

// state is the response body of GET /admin/state. Unlike the metrics, it is
// current.
type state struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// UsedFraction is the fraction of blocks allocated to running sequences.
	UsedFraction float64 `json:"used"`
	Preemptions  uint64  `json:"preemptions"`
	// Executed is the number of submitted sequences, without retries that have the
	// same request ID.
	Executed uint64 `json:"executed"`
	Cold     bool   `json:"cold"`
	// WarmUp is the number of tokens until the engine is warm.
	WarmUp int `json:"warm_up"`
	// MaxRequestsWhileCold is the largest number of requests running or waiting
	// right after one arrived while the engine was cold.
	MaxRequestsWhileCold int `json:"most_while_cold"`
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.state())
}

func (e *Engine) state() state {
	e.mu.Lock()
	defer e.mu.Unlock()
	return state{
		len(e.running), len(e.waiting), e.memory.usedFraction(), e.preemptions, e.executed, e.warmUpRemaining > 0, e.warmUpRemaining, e.maxRequestsWhileCold,
	}
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	seq := uint64(lastEventID(r))
	ticker := time.NewTicker(eventPollInterval)
	defer ticker.Stop()
	for {
		for _, event := range e.eventsAfter(seq, time.Now()) {
			data, _ := json.Marshal(event)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Seq, data); err != nil {
				return
			}
			seq = event.Seq
		}
		_ = flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// errorBody is an OpenAI error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{errorDetail{message, http.StatusText(status), status}})
}
