package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

const (
	// shardCount is the number of independently locked maps.
	shardCount = 16
	// staleRecordAge is the age of the last report above which the record of an
	// instance that is not usable is removed.
	staleRecordAge = 5 * time.Minute
)

// records holds the record of each instance by name, divided into shards.
type records struct {
	shards [shardCount]shard
}

type shard struct {
	mu     sync.RWMutex
	byName map[string]*record
}

func newRecords() *records {
	r := &records{}
	for i := range r.shards {
		r.shards[i].byName = make(map[string]*record)
	}
	return r
}

func (r *records) shard(name string) *shard {
	return &r.shards[xxhash.Sum64String(name)%shardCount]
}

// lookup returns the record of the instance, or nil if there is none.
func (r *records) lookup(name string) *record {
	s := r.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

// getOrCreate returns the record of the instance and creates it if there is none.
func (r *records) getOrCreate(name string) *record {
	if entry := r.lookup(name); entry != nil {
		return entry
	}
	s := r.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byName[name]
	if entry == nil {
		entry = &record{}
		s.byName[name] = entry
	}
	return entry
}

// addOutstanding changes the number of this gateway's running attempts at the
// instance. The lock prevents removeStale from removing the record between the
// lookup and the change.
func (r *records) addOutstanding(name string, delta int64) {
	s := r.shard(name)
	s.mu.RLock()
	entry := s.byName[name]
	if entry != nil {
		entry.outstanding.Add(delta)
	}
	s.mu.RUnlock()
	if entry == nil {
		s.createAndAdd(name, delta)
	}
}

func (r *records) candidate(i instance.Instance, dataCentre string) candidate {
	return candidate{
		instance: i,
		hash:     xxhash.Sum64String(i.Name),
		record:   r.getOrCreate(i.Name),
		local:    i.DataCentre == dataCentre,
	}
}

// removeStale removes the records that are not in keep, have no running attempt
// and received no report within staleRecordAge.
func (r *records) removeStale(keep map[string]struct{}, now time.Time) {
	for i := range r.shards {
		r.shards[i].removeStale(keep, now)
	}
}

func (s *shard) createAndAdd(name string, delta int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byName[name]
	if entry == nil {
		entry = &record{}
		s.byName[name] = entry
	}
	entry.outstanding.Add(delta)
}

func (s *shard) removeStale(keep map[string]struct{}, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, entry := range s.byName {
		if _, ok := keep[name]; ok || entry.outstanding.Load() != 0 {
			continue
		}
		if o := entry.latest.Load(); o == nil || now.Sub(o.receivedAt) > staleRecordAge {
			delete(s.byName, name)
		}
	}
}
