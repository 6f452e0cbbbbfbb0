package usablelist

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

// MaxAge is how long a list is used. It is short against the 5 s in which new
// work must cease for a leaving instance.
const MaxAge = 100 * time.Millisecond

// source makes the lists.
type source interface {
	// Usable returns the instances of the service that may receive new work.
	Usable(service string, now time.Time) []instance.Instance
}

// Cache holds the last list of each service. It is safe for concurrent use.
type Cache struct {
	source source
	lists  sync.Map
}

// list is the last list of one service.
type list struct {
	// mu is held while the list is made anew.
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
}

type snapshot struct {
	instances []instance.Instance
	made      time.Time
}

// New returns a cache of the source's lists, usually a membership.View.
func New(s source) *Cache { return &Cache{source: s} }

// Usable returns the instances of the service that may receive new work, as of
// at most MaxAge before now, or twice that while another caller makes the list.
// The result must not be changed. It is the same slice as long as the instances
// are the same.
func (c *Cache) Usable(service string, now time.Time) []instance.Instance {
	l := c.list(service)
	s := l.current.Load()
	if s != nil && now.Sub(s.made) < MaxAge {
		return s.instances
	}
	if s != nil && now.Sub(s.made) < 2*MaxAge {
		return l.tryRefresh(c.source, service, s, now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refresh(c.source, service, now)
}

func (c *Cache) list(service string) *list {
	if l, ok := c.lists.Load(service); ok {
		return l.(*list)
	}
	l, _ := c.lists.LoadOrStore(service, &list{})
	return l.(*list)
}

// tryRefresh makes the list anew unless another caller does it.
func (l *list) tryRefresh(s source, service string, old *snapshot, now time.Time) []instance.Instance {
	if !l.mu.TryLock() {
		return old.instances
	}
	defer l.mu.Unlock()
	return l.refresh(s, service, now)
}

func (l *list) refresh(s source, service string, now time.Time) []instance.Instance {
	old := l.current.Load()
	if old != nil && now.Sub(old.made) < MaxAge {
		return old.instances
	}
	fresh := s.Usable(service, now)
	if old != nil && slices.Equal(old.instances, fresh) {
		fresh = old.instances
	}
	l.current.Store(&snapshot{instances: fresh, made: now})
	return fresh
}
