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
	// Delay is the execution time of each request.
	Delay time.Duration
	// Deduplicate makes the service return the first result for a repeated
	// Idempotency-Key.
	Deduplicate bool
}

// Service is a stand-in plain service. It is safe for concurrent use.
type Service struct {
	options Options

	mu    sync.Mutex
	delay time.Duration
	// fail is the failure mode: empty, failBefore or failAfter.
	fail string
	// frozen is closed when a freeze ends, nil if the service is not frozen.
	frozen chan struct{}
	// counts holds the number of executions of each request.
	counts map[requestID]int
	// lastExecution holds, by idempotency key, the execution number of the last
	// request executed with it.
	lastExecution map[string]int
}

// requestID identifies a request. Requests with equal IDs count as executions of
// the same request.
type requestID struct{ method, path, key, bodyHash string }

// Count is the number of executions of one request.
type Count struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Key        string `json:"key"`
	BodySHA256 string `json:"body_sha256"`
	Executions int    `json:"executions"`
}

// Result is the response body of an executed request.
type Result struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Execution counts the executions of the same request, including this one.
	// For a deduplicated request it is the number of the earlier execution.
	Execution int `json:"execution"`
}

// Values of fault.Fail.
const (
	// failBefore rejects requests with status 500 without executing them.
	failBefore = "before"
	// failAfter executes requests and closes the connection without a response.
	failAfter = "after"
)

// fault is the body of POST /admin/fault. Absent fields change nothing.
type fault struct {
	DelayMillis *int    `json:"delay_ms"`
	Fail        *string `json:"fail"`
	Freeze      *bool   `json:"freeze"`
}

// New returns a service that has executed no requests.
func New(options Options) *Service {
	return &Service{
		options:       options,
		delay:         options.Delay,
		counts:        make(map[requestID]int),
		lastExecution: make(map[string]int),
	}
}

// Handler executes requests for any path, and serves the counts and injects faults
// under /admin. GET /healthz is not counted.
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

// Counts returns the number of executions of each request, in no particular order.
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
	delay, fail := s.awaitThaw(r.Context())
	if fail == failBefore {
		http.Error(w, "rejected by fault injection", http.StatusInternalServerError)
		return
	}
	result := s.execute(r, body)
	time.Sleep(delay)
	if fail == failAfter {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, successStatus(r.Method), result)
}

// awaitThaw blocks until a freeze ends or the caller disconnects, and returns the
// delay and the failure mode that are current then.
func (s *Service) awaitThaw(ctx context.Context) (time.Duration, string) {
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

// execute counts the request and returns its result, or returns the earlier result
// if the request is deduplicated.
func (s *Service) execute(r *http.Request, body []byte) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get("Idempotency-Key")
	result := Result{Service: s.options.Name, Path: r.URL.Path, Key: key}
	if n := s.lastExecution[key]; s.options.Deduplicate && key != "" && n > 0 {
		result.Execution = n
		return result
	}
	sum := sha256.Sum256(body)
	id := requestID{r.Method, r.URL.Path, key, hex.EncodeToString(sum[:])}
	s.counts[id]++
	s.lastExecution[key] = s.counts[id]
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

// successStatus returns the status code of an executed request.
func successStatus(method string) int {
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
