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
	// DefaultCapacity is the number of records that a process keeps. A record
	// takes about 400 bytes, so that all take about 3 MB of the 32 MB of memory
	// reserved for control data.
	DefaultCapacity = 8192
	// Path is the path prefix of Handler on the admin listener. The request
	// identifier follows it.
	Path = "/explain/"

	shardCount = 16
)

// Record is one decision. It must not be modified after Add.
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
	// Choice is the result of the decision, and Reason explains it.
	Choice string `json:"choice"`
	Reason string `json:"reason,omitempty"`
	// Observations are the inputs of the decision.
	Observations []Observation `json:"observations,omitempty"`
}

// Observation is one input of a decision.
type Observation struct {
	// Subject is the instance or account that was observed.
	Subject string  `json:"subject,omitempty"`
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
}

// Response is the JSON body of a response of Handler.
type Response struct {
	Process   string   `json:"process"`
	Decisions []Record `json:"decisions"`
}

// Ring keeps the most recent records of one process. It is safe for concurrent
// use.
type Ring struct {
	process string
	shards  [shardCount]shard
}

// shard keeps the records of the requests whose identifiers hash to it.
type shard struct {
	mu sync.Mutex
	// records grows up to limit. From then on, next is the index of the oldest
	// record.
	records []Record
	next    int
	limit   int
}

// New returns an empty ring for the named process with a capacity of about the
// given number of records.
func New(process string, capacity int) *Ring {
	r := &Ring{process: process}
	for i := range r.shards {
		r.shards[i].limit = max(1, capacity/shardCount)
	}
	return r
}

// Add stores the record. If the record's shard is full, it replaces the oldest
// one there.
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

// Handler serves GET requests for Path followed by a request identifier with the
// records of that request.
func (r *Ring) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id, ok := strings.CutPrefix(request.URL.Path, Path)
		if !ok || id == "" || request.Method != http.MethodGet {
			_ = problem.Rejected("not_found", http.StatusNotFound, "ask GET "+Path+"{request_id}").Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Response{Process: r.process, Decisions: r.Find(id)})
	})
}

func (r *Ring) shard(requestID string) *shard {
	return &r.shards[xxhash.Sum64String(requestID)%shardCount]
}
