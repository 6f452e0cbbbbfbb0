package weightstore

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// chunkBytes is the amount of data sent before the rate limit is applied again.
const chunkBytes = 64 << 10

// Store is a stand-in weight store. It is safe for concurrent use.
type Store struct {
	bytesPerSecond int64
	modelBytes     int64

	mu sync.Mutex
	// nextSend is the earliest time at which the rate limit allows another chunk
	// to any reader.
	nextSend time.Time
}

// New returns a store in which each model has a size of modelBytes. All readers
// together receive at most bytesPerSecond.
func New(bytesPerSecond, modelBytes int64) *Store {
	return &Store{bytesPerSecond: bytesPerSecond, modelBytes: modelBytes}
}

// Handler serves GET /v1/weights/{name} for any name.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{name}", s.handleGet)
	return mux
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.FormatInt(s.modelBytes, 10))
	chunk := make([]byte, chunkBytes)
	for remaining := s.modelBytes; remaining > 0; {
		n := min(remaining, chunkBytes)
		timer := time.NewTimer(s.reserve(n, time.Now()))
		select {
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
	}
}

// reserve allots n bytes of the shared rate and returns how long to wait before
// they may be sent.
func (s *Store) reserve(n int64, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextSend.Before(now) {
		s.nextSend = now
	}
	wait := s.nextSend.Sub(now)
	s.nextSend = s.nextSend.Add(time.Duration(float64(n) / float64(s.bytesPerSecond) * float64(time.Second)))
	return wait
}
