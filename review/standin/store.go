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

// item is an item of the store as the platform's pages describe it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record *record

	mu       sync.Mutex
	revision int64
	items    map[string]item
	changed  chan struct{}
	// silent is true while the store does not answer; calls that arrive then get no
	// answer at all.
	silent bool
}

func newStore(r *record) *store {
	return &store{record: r, revision: 100, items: make(map[string]item), changed: make(chan struct{})}
}

// listen serves the store on a free port of the address and returns "ip:port".
func (s *store) listen(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String()
}

// write sets the key, or deletes it if the value is nil, and returns when the change
// was acknowledged.
func (s *store) write(key string, value any) time.Time {
	var content []byte
	if value != nil {
		var err error
		content, err = json.Marshal(value)
		check(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = item{Key: key, Value: content, Revision: s.revision, Tombstone: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
	now := time.Now()
	s.record.add("store: revision %d: %s %s", s.revision, key, map[bool]string{true: "deleted", false: "written"}[value == nil])
	return now
}

// writeIfChanged writes an entry unless it differs from the present one in its sequence
// only.
func (s *store) writeIfChanged(key string, entry map[string]any) {
	s.mu.Lock()
	known := s.items[key]
	s.mu.Unlock()
	var present map[string]any
	if known.Value != nil {
		check(json.Unmarshal(known.Value, &present))
	}
	if present["state"] == entry["state"] && present["address"] == entry["address"] && present["service"] == entry["service"] && present["born"] != nil {
		return
	}
	s.write(key, entry)
}

// setSilent starts or ends an outage in which the store answers nothing.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.record.add("store: silent=%v", silent)
}

func (s *store) since(prefix string, after int64, deleted bool) ([]item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Revision > after && (deleted || !i.Tombstone) {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Revision < found[b].Revision })
	return found, s.revision, s.changed
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	q := r.URL.Query()
	var reply any
	switch r.URL.Path {
	case "/v1/kv-range":
		items, revision, _ := s.since(q.Get("path_prefix"), 0, false)
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		reply = map[string]any{"items": items, "has_more": false, "as_of": revision}
	case "/v1/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		events, revision, changed := s.since(q.Get("path_prefix"), after, true)
		if len(events) == 0 {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
			events, revision, _ = s.since(q.Get("path_prefix"), after, true)
		}
		reply = map[string]any{"events": events, "as_of": revision}
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
