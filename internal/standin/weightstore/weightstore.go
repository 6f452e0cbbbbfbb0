package weightstore

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const pieceBytes = 64 << 10

// Store is a stand-in weight store. It is safe for concurrent use.
type Store struct {
	bytesPerSecond int64
	modelBytes     int64

	mu sync.Mutex
	// next is when the rate allows the next piece for any reader.
	next time.Time
}

// New returns a store in which each model has modelBytes bytes, read by all
// readers together at no more than bytesPerSecond.
func New(bytesPerSecond, modelBytes int64) *Store {
	return &Store{bytesPerSecond: bytesPerSecond, modelBytes: modelBytes}
}

// Handler serves GET /v1/weights/{name}.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{name}", s.handleGet)
	return mux
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.FormatInt(s.modelBytes, 10))
	piece := make([]byte, pieceBytes)
	for left := s.modelBytes; left > 0; {
		n := min(left, pieceBytes)
		timer := time.NewTimer(s.reserve(n, time.Now()))
		select {
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if _, err := w.Write(piece[:n]); err != nil {
			return
		}
		left -= n
	}
}

// reserve returns how long to wait before n more bytes may be sent.
func (s *Store) reserve(n int64, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next.Before(now) {
		s.next = now
	}
	wait := s.next.Sub(now)
	s.next = s.next.Add(time.Duration(float64(n) / float64(s.bytesPerSecond) * float64(time.Second)))
	return wait
}
