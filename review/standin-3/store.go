package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store on the wire.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a value, or deletes the key if the value is nil.
func (s *store) put(key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = item{Key: key, Value: data, Revision: s.revision, Tombstone: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the items with the prefix that have changed after the revision.
func (s *store) after(prefix string, revision int64, tombstones bool) ([]item, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Revision > revision && (tombstones || !i.Tombstone) {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Revision < found[b].Revision })
	return found, s.revision, s.changed
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path == "/v1/kv-range" {
		found, revision, _ := s.after(q.Get("path_prefix"), 0, false)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": found, "has_more": false, "as_of": revision})
		return
	}
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	found, revision, changed := s.after(q.Get("path_prefix"), after, true)
	if len(found) == 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		found, revision, _ = s.after(q.Get("path_prefix"), after, true)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"events": found, "as_of": revision})
}
