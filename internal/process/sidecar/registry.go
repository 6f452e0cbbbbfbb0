package sidecar

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const registryShards = 16

// registry is a sharded map from identifiers to values. It is safe for
// concurrent use.
type registry[T any] struct {
	shards [registryShards]registryShard[T]
}

type registryShard[T any] struct {
	mu     sync.RWMutex
	values map[string]T
}

func newRegistry[T any]() *registry[T] {
	r := new(registry[T])
	for i := range r.shards {
		r.shards[i].values = make(map[string]T)
	}
	return r
}

func (r *registry[T]) shard(id string) *registryShard[T] {
	return &r.shards[xxhash.Sum64String(id)%registryShards]
}

func (r *registry[T]) get(id string) (T, bool) {
	s := r.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok := s.values[id]
	return value, ok
}

// add stores the value unless the identifier already has one. It returns the
// stored value and whether that is the new one.
func (r *registry[T]) add(id string, value T) (T, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored, ok := s.values[id]; ok {
		return stored, false
	}
	s.values[id] = value
	return value, true
}

func (r *registry[T]) remove(id string) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, id)
}

// all returns the values of all shards. Shards are read one after the other, so
// the result is not a snapshot of a single moment.
func (r *registry[T]) all() []T {
	var values []T
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, value := range s.values {
			values = append(values, value)
		}
		s.mu.RUnlock()
	}
	return values
}
