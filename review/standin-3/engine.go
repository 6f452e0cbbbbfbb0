package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slots, memoryTokens and eventTokens are those of the site's engines.
	slots, memoryTokens, eventTokens = 24, 34252, 4
	// promptPerMillisecond is the number of prompt tokens that an engine reads in 1 ms.
	promptPerMillisecond = 14
	stepTime             = 10 * time.Millisecond
)

// engine is a sound model worker.
type engine struct {
	id      string
	bed     *bed
	born    int64
	running atomic.Int64
	used    atomic.Int64
	mu      sync.Mutex
	// arrived holds the requests that the engine began to work on.
	arrived map[string]bool
}

func (b *bed) startEngine(n int) *engine {
	e := &engine{id: fmt.Sprintf("e-%d", n), bed: b, born: time.Now().UnixMilli(), arrived: map[string]bool{}}
	serve(b.address(n, workerPort), e)
	b.list(e.id, "lm-pool", b.address(n, workerPort), "ready", e.born, slots)
	b.launch("reporter", n, b.address(n, workerPort))
	return e
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "unified", "state": "ready", "born": e.born, "waiting": 0, "running": e.running.Load(), "kv_used": e.used.Load(), "kv_total": memoryTokens, "handles": 0,
		})
		return
	}
	id := r.Header.Get(idHeader)
	w.Header().Set(idHeader, id)
	if expected := r.Header.Get(expectHeader); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	prompt, output := tokenCounts(r.Header.Get("X-Flamingohold-Token-Counts"))
	running, used := e.running.Add(1), e.used.Add(int64(prompt+output))
	defer e.running.Add(-1)
	defer e.used.Add(int64(-prompt - output))
	if running > slots || used > memoryTokens {
		w.Header().Set("X-Flamingohold-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.arrived[id] = true
	e.mu.Unlock()
	time.Sleep(time.Duration(prompt) * time.Millisecond / promptPerMillisecond)
	w.Header().Set(sealHeader, "seal-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= (output+eventTokens-1)/eventTokens; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(stepTime):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func tokenCounts(text string) (prompt, output int) {
	p, o, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(p)
	output, _ = strconv.Atoi(o)
	return prompt, output
}
