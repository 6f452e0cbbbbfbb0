package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

const (
	shardCount = 16
	// forgetAfter is how long the record of an instance that is not usable is
	// kept.
	forgetAfter = 5 * time.Minute
)

// records holds the record of each instance by name, in shards.
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

// lookup returns the record of the instance, nil if there is none.
func (r *records) lookup(name string) *record {
	s := r.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

// get returns the record of the instance and makes it if there is none.
func (r *records) get(name string) *record {
	if known := r.lookup(name); known != nil {
		return known
	}
	s := r.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byName[name]
	if known == nil {
		known = &record{}
		s.byName[name] = known
	}
	return known
}

// add changes the number of this gateway's attempts at the instance. The lock
// keeps forget from dropping the record in between.
func (r *records) add(name string, change int64) {
	s := r.shard(name)
	s.mu.RLock()
	known := s.byName[name]
	if known != nil {
		known.outstanding.Add(change)
	}
	s.mu.RUnlock()
	if known == nil {
		s.addNew(name, change)
	}
}

func (r *records) candidate(i instance.Instance, dataCentre string) candidate {
	return candidate{
		instance: i,
		hash:     xxhash.Sum64String(i.Name),
		record:   r.get(i.Name),
		local:    i.DataCentre == dataCentre,
	}
}

// forget drops the records that are not in keep, hold no attempt and have had
// no report for long.
func (r *records) forget(keep map[string]struct{}, now time.Time) {
	for i := range r.shards {
		r.shards[i].forget(keep, now)
	}
}

func (s *shard) addNew(name string, change int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byName[name]
	if known == nil {
		known = &record{}
		s.byName[name] = known
	}
	known.outstanding.Add(change)
}

func (s *shard) forget(keep map[string]struct{}, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, known := range s.byName {
		if _, ok := keep[name]; ok || known.outstanding.Load() != 0 {
			continue
		}
		if o := known.seen.Load(); o == nil || now.Sub(o.at) > forgetAfter {
			delete(s.byName, name)
		}
	}
}
