package plainservice

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 16 << 20

// Options configure a service.
type Options struct {
	Name string
	// Delay is how long each request runs.
	Delay time.Duration
	// Deduplicate makes the service answer a repeated Idempotency-Key with the
	// first result.
	Deduplicate bool
}

// Service is a stand-in plain service. It is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	delay  time.Duration
	fail   string
	frozen chan struct{}
	// counts holds the executions by key and body.
	counts map[identity]int
	// results holds the first execution number by key.
	results map[string]int
}

// identity tells requests apart.
type identity struct{ method, path, key, bodyHash string }

// Count is the number of executions of one request.
type Count struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Key        string `json:"key"`
	BodySHA256 string `json:"body_sha256"`
	Executions int    `json:"executions"`
}

// Result is the answer to a request.
type Result struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Execution is 1 when the same key and body ran for the first time.
	Execution int `json:"execution"`
}

// Faults of the executed requests.
const (
	// failBefore refuses requests with status 500 without running them.
	failBefore = "before"
	// failAfter runs requests and closes the connection without an answer.
	failAfter = "after"
)

// fault is the body of POST /admin/fault. Absent fields change nothing.
type fault struct {
	DelayMillis *int    `json:"delay_ms"`
	Fail        *string `json:"fail"`
	Freeze      *bool   `json:"freeze"`
}

// New returns a service without executions.
func New(options Options) *Service {
	return &Service{
		options: options,
		delay:   options.Delay,
		counts:  make(map[identity]int),
		results: make(map[string]int),
	}
}

// Handler serves any path and, under /admin, the counts and faults. GET
// /healthz is not counted.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("POST /admin/fault", s.handleFault)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", s.handle)
	return mux
}

// Counts returns the executions so far.
func (s *Service) Counts() []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make([]Count, 0, len(s.counts))
	for id, n := range s.counts {
		counts = append(counts, Count{id.method, id.path, id.key, id.bodyHash, n})
	}
	return counts
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	delay, fail := s.behaviour(r.Context())
	if fail == failBefore {
		http.Error(w, "refused by fault", http.StatusInternalServerError)
		return
	}
	result := s.execute(r, body)
	time.Sleep(delay)
	if fail == failAfter {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status(r.Method), result)
}

// behaviour returns the delay and the fault in force, after a freeze has ended
// or the caller has gone.
func (s *Service) behaviour(ctx context.Context) (time.Duration, string) {
	s.mu.Lock()
	frozen := s.frozen
	s.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay, s.fail
}

// execute counts the request unless it is deduplicated.
func (s *Service) execute(r *http.Request, body []byte) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get("Idempotency-Key")
	result := Result{Service: s.options.Name, Path: r.URL.Path, Key: key}
	if n := s.results[key]; s.options.Deduplicate && key != "" && n > 0 {
		result.Execution = n
		return result
	}
	sum := sha256.Sum256(body)
	id := identity{r.Method, r.URL.Path, key, hex.EncodeToString(sum[:])}
	s.counts[id]++
	s.results[key] = s.counts[id]
	result.Execution = s.counts[id]
	return result
}

func (s *Service) handleFault(w http.ResponseWriter, r *http.Request) {
	var f fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.inject(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Service) inject(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.DelayMillis != nil {
		s.delay = time.Duration(*f.DelayMillis) * time.Millisecond
	}
	if f.Fail != nil {
		s.fail = *f.Fail
	}
	if f.Freeze == nil {
		return
	}
	if *f.Freeze && s.frozen == nil {
		s.frozen = make(chan struct{})
	}
	if !*f.Freeze && s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

func status(method string) int {
	if method == http.MethodPost {
		return http.StatusCreated
	}
	return http.StatusOK
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
