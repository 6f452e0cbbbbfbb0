package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. It
// answers GET /v1/kv-range and GET /v1/kv-watch.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	address  string
}

func newStore(ip string) (*store, error) {
	s := &store{revision: 10, items: make(map[string]item), changed: make(chan struct{})}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an item. A nil value deletes it.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Revision: s.revision, CreateRev: s.revision}
	if old, ok := s.items[key]; ok {
		i.CreateRev = old.CreateRev
	}
	if value == nil {
		i.Tombstone = true
		delete(s.items, key)
	} else {
		i.Value, _ = json.Marshal(value)
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("path_prefix")
	switch r.URL.Path {
	case "/v1/kv-range":
		s.mu.Lock()
		found := []item{}
		for k, i := range s.items {
			if strings.HasPrefix(k, prefix) && k > q.Get("after") {
				found = append(found, i)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
		reply(w, map[string]any{"items": found, "has_more": false, "as_of": asOf})
	case "/v1/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		deadline := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			events := []item{}
			for _, i := range s.history {
				if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
					events = append(events, i)
				}
			}
			asOf, changed := s.revision, s.changed
			s.mu.Unlock()
			if len(events) > 0 {
				reply(w, map[string]any{"events": events, "as_of": asOf})
				return
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-deadline:
				reply(w, map[string]any{"events": events, "as_of": asOf})
				return
			}
		}
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
