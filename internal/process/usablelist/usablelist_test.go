package usablelist

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

var start = time.Unix(1_000_000, 0)

// counting makes a new slice at each call, as membership.View does.
type counting struct {
	mu        sync.Mutex
	calls     int
	instances []instance.Instance
}

func (c *counting) Usable(string, time.Time) []instance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return append([]instance.Instance(nil), c.instances...)
}

// Guards against an instance that gets new work after its list is too old, and
// against a new slice without a change, which costs the router a comparison.
func TestListIsFreshAndStable(t *testing.T) {
	s := &counting{instances: []instance.Instance{{Name: "a"}, {Name: "b"}}}
	c := New(s)
	first := c.Usable("x", start)
	require.Len(t, first, 2)
	for range 100 {
		c.Usable("x", start.Add(MaxAge-time.Millisecond))
	}
	require.Equal(t, 1, s.calls)
	again := c.Usable("x", start.Add(MaxAge))
	require.Equal(t, 2, s.calls)
	require.Same(t, &first[0], &again[0])
	s.instances = s.instances[:1]
	require.Len(t, c.Usable("x", start.Add(2*MaxAge)), 1)
	s.instances = nil
	require.Empty(t, c.Usable("x", start.Add(time.Hour)), "after a pause of the process")
}

// Guards against a race between callers, and against more than one of them
// making the list.
func TestConcurrentCallersShareOneRefresh(t *testing.T) {
	s := &counting{instances: []instance.Instance{{Name: "a"}}}
	c := New(s)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			if len(c.Usable("x", start)) != 1 {
				t.Error("the list is empty")
			}
		})
	}
	group.Wait()
	require.Equal(t, 1, s.calls)
}

func BenchmarkUsable(b *testing.B) {
	s := &counting{}
	for i := range 1400 {
		s.instances = append(s.instances, instance.Instance{Name: fmt.Sprint(i)})
	}
	c := New(s)
	b.ReportAllocs()
	for b.Loop() {
		c.Usable("x", start)
	}
}
