package decisions

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// DefaultCapacity is the number of records of one process. A record takes
	// about 400 bytes, so that they take about 3 MB of the 32 MB for control.
	DefaultCapacity = 8192
	// Path is the admin path under which Handler answers; the request
	// identifier follows it.
	Path = "/explain/"

	shardCount = 16
)

// Record is one decision. It is not changed after Add.
type Record struct {
	Time      time.Time `json:"time"`
	RequestID string    `json:"request_id"`
	// Account is the client account, because two accounts may use the same
	// request identifier.
	Account string `json:"account,omitempty"`
	// Step is the step of processing, in snake case.
	Step string `json:"step"`
	// Peer is the process or instance that the decision concerns.
	Peer string `json:"peer,omitempty"`
	// Choice is what was decided and Reason why.
	Choice string `json:"choice"`
	Reason string `json:"reason,omitempty"`
	// Observations are the values that the decision rests on.
	Observations []Observation `json:"observations,omitempty"`
}

// Observation is one value that a decision rests on.
type Observation struct {
	// Subject is the instance or account that was observed.
	Subject string  `json:"subject,omitempty"`
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
}

// Answer is the response of Handler.
type Answer struct {
	Process   string   `json:"process"`
	Decisions []Record `json:"decisions"`
}

// Ring holds the latest records of one process. It is safe for concurrent use.
type Ring struct {
	process string
	shards  [shardCount]shard
}

// shard holds the records of the requests that hash to it.
type shard struct {
	mu sync.Mutex
	// records grows up to limit; then next is the oldest record.
	records []Record
	next    int
	limit   int
}

// New returns an empty ring of the process with room for about the given number
// of records.
func New(process string, capacity int) *Ring {
	r := &Ring{process: process}
	for i := range r.shards {
		r.shards[i].limit = max(1, capacity/shardCount)
	}
	return r
}

// Add keeps the record and drops the oldest one of its shard if there is no
// room.
func (r *Ring) Add(record Record) {
	s := r.shard(record.RequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) < s.limit {
		s.records = append(s.records, record)
		return
	}
	s.records[s.next] = record
	s.next = (s.next + 1) % s.limit
}

// Find returns the records of the request in the order in which they were
// added.
func (r *Ring) Find(requestID string) []Record {
	s := r.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []Record{}
	for i := range s.records {
		record := s.records[(s.next+i)%len(s.records)]
		if record.RequestID == requestID {
			found = append(found, record)
		}
	}
	return found
}

// Handler answers GET requests for Path followed by a request identifier.
func (r *Ring) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id, ok := strings.CutPrefix(request.URL.Path, Path)
		if !ok || id == "" || request.Method != http.MethodGet {
			_ = problem.Rejected("not_found", http.StatusNotFound, "ask GET "+Path+"{request_id}").Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Answer{Process: r.process, Decisions: r.Find(id)})
	})
}

func (r *Ring) shard(requestID string) *shard {
	return &r.shards[xxhash.Sum64String(requestID)%shardCount]
}
