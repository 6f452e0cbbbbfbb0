package configservice

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxValueBytes is the platform's limit on one value.
	maxValueBytes = 1 << 20
	// defaultWait and maxWait are Consul's default and longest wait of a
	// blocking query.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// Modes of the service.
const (
	// ModeUp serves the current values.
	ModeUp = "up"
	// ModeDown fails all reads with status 500.
	ModeDown = "down"
	// ModeStale serves the values that were current when the mode was set.
	ModeStale = "stale"
	// ModeOlder serves the previous value of each key, if it has one.
	ModeOlder = "older"
)

// Service is a stand-in configuration service. It is safe for concurrent use.
type Service struct {
	mu sync.Mutex
	// index increases with each write and each change of mode.
	index  uint64
	values map[string]value
	// staleValues holds the values that ModeStale serves.
	staleValues map[string]value
	mode        string
	reads       uint64
	// changed is closed and replaced on each write and each change of mode.
	changed chan struct{}
}

type value struct {
	// index is the service's index after the write.
	index   uint64
	content []byte
	// previous is the value that the write replaced, nil if there was none.
	previous *value
}

// New returns a service without values, in ModeUp.
func New() *Service {
	return &Service{index: 1, values: make(map[string]value), mode: ModeUp, changed: make(chan struct{})}
}

// Handler serves GET and PUT /v1/kv/{key}. Under /admin it sets the mode and
// returns the mode, the number of reads and the index.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.handleGet)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handlePut)
	mux.HandleFunc("POST /admin/configuration", s.handleMode)
	mux.HandleFunc("GET /admin/configuration", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.state())
	})
	return mux
}

// modeRequest is the body of POST /admin/configuration.
type modeRequest struct {
	Mode string `json:"mode"`
}

// state is the response body of GET /admin/configuration.
type state struct {
	Mode string `json:"mode"`
	// Reads is the number of GET requests for keys.
	Reads uint64 `json:"calls"`
	Index uint64 `json:"index"`
}

func (s *Service) state() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state{s.mode, s.reads, s.index}
}

// SetMode changes the mode and notifies all waiting reads.
func (s *Service) SetMode(m string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.staleValues = maps.Clone(s.values)
	s.notifyReads()
}

// Put stores a value under the key and notifies all waiting reads.
func (s *Service) Put(key string, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := value{index: s.index + 1, content: content}
	if old, ok := s.values[key]; ok {
		old.previous = nil
		v.previous = &old
	}
	s.values[key] = v
	s.notifyReads()
}

// notifyReads increments the index and makes all waiting reads check their key
// again. The lock is held.
func (s *Service) notifyReads() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) handleMode(w http.ResponseWriter, r *http.Request) {
	var m modeRequest
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch m.Mode {
	case ModeUp, ModeDown, ModeStale, ModeOlder:
		s.SetMode(m.Mode)
	default:
		http.Error(w, "unknown mode; want up, down, stale or older", http.StatusBadRequest)
	}
}

func (s *Service) handlePut(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value exceeds 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	s.Put(r.PathValue("key"), content)
	_, _ = io.WriteString(w, "true")
}

func (s *Service) handleGet(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	timer := time.NewTimer(waitDuration(r))
	defer timer.Stop()
	s.countRead()
	for {
		v, index, down, changed := s.read(r.PathValue("key"))
		if down {
			http.Error(w, "no cluster leader", http.StatusInternalServerError)
			return
		}
		if after == 0 || index != after {
			writeValue(w, v, index)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeValue(w, v, index)
			return
		case <-changed:
		}
	}
}

// waitDuration returns how long a blocking query waits for a change.
func waitDuration(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || d <= 0 {
		return defaultWait
	}
	return min(d, maxWait)
}

func (s *Service) countRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
}

// read returns the value of the key that the current mode serves, or nil if the key
// is missing, the value's index, whether the service is down, and a channel that is
// closed on the next change. A missing key has the index 1, because Consul's indexes
// are greater than zero.
func (s *Service) read(key string) (v *value, index uint64, down bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := s.values
	if s.mode == ModeStale {
		values = s.staleValues
	}
	found, ok := values[key]
	if s.mode == ModeOlder && found.previous != nil {
		found = *found.previous
	}
	if !ok {
		return nil, 1, s.mode == ModeDown, s.changed
	}
	return &found, found.index, s.mode == ModeDown, s.changed
}

func writeValue(w http.ResponseWriter, v *value, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if v == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(v.content)
}
