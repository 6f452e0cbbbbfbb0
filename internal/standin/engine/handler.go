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

// Handler serves the engine protocol and, under /admin, the faults.
func (e *Engine) Handler() http.Handler {
	protocol := http.NewServeMux()
	protocol.HandleFunc("POST /v1/completions", e.handleCompletion)
	protocol.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	protocol.HandleFunc("GET /v1/completions/{id}", e.handleResume)
	protocol.HandleFunc("DELETE /v1/completions/{id}", e.handleCancel)
	protocol.HandleFunc("GET /v1/models", e.handleModels)
	protocol.HandleFunc("GET /metrics", e.handleMetrics)
	protocol.HandleFunc("GET /kv-events", e.handleEvents)
	protocol.HandleFunc("POST /orders", e.handleOrder)
	protocol.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.orderState())
	})
	all := http.NewServeMux()
	all.HandleFunc("POST /admin/fault", e.handleFault)
	all.HandleFunc("GET /admin/state", e.handleState)
	all.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if e.pass(r.Context()) == nil {
			protocol.ServeHTTP(w, r)
		}
	})
	return all
}

// completionBody is the part of an OpenAI request that the engine reads.
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

// chatPrompt returns the prompt for which the messages stand.
func chatPrompt(messages []message) string {
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = text(m.Content)
	}
	return strings.Join(parts, "\n")
}

// text returns a JSON string's content, and other JSON as it is.
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
	e.answerWhole(w, r, s)
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
	for _, name := range e.orderState().Models {
		list.Data = append(list.Data, model{name, "model", 0, "standin"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	l := e.lagging(time.Now())
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
`, l.running, l.waiting, l.used, l.preemptions, blockTokens, e.memory.capacity, float64(e.started.UnixMilli())/1000)
}

// state is the answer to GET /admin/state, without lag.
type state struct {
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Used        float64 `json:"used"`
	Preemptions uint64  `json:"preemptions"`
	Executed    uint64  `json:"executed"`
	Cold        bool    `json:"cold"`
	WarmUp      int     `json:"warm_up"`
	// MostWhileCold is the largest number of requests that the engine held when
	// it received one while cold.
	MostWhileCold int `json:"most_while_cold"`
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.state())
}

func (e *Engine) state() state {
	e.mu.Lock()
	defer e.mu.Unlock()
	return state{
		len(e.running), len(e.waiting), e.memory.used(), e.preemptions, e.executed, e.warmUp > 0, e.warmUp, e.mostWhileCold,
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

// errorBody is the error document of OpenAI.
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
