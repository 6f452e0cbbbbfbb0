package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
)

const (
	// smallLinkBytesPerSecond is a link of 10 Mbit/s.
	smallLinkBytesPerSecond = 10e6 / 8
	// transferUnitBytes is how much is sent at a time over a simulated link.
	transferUnitBytes = 4 << 10
	// inForceBound is the time within which a change must be in force.
	inForceBound = 3 * time.Second
	testKey      = "configuration"
)

// link is a network link on which transfers wait for each other.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// reserve returns when the link has carried the bytes.
func (l *link) reserve(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(size) / smallLinkBytesPerSecond * float64(time.Second)))
	return l.free
}

// carry waits until all links have carried the bytes or the context ends.
func carry(ctx context.Context, size int, links ...*link) {
	var last time.Time
	for _, l := range links {
		if at := l.reserve(size); at.After(last) {
			last = at
		}
	}
	pause.For(ctx, time.Until(last))
}

// linkedWriter sends a response over the links of both routers.
type linkedWriter struct {
	http.ResponseWriter

	ctx   context.Context //nolint:containedctx // it is the context of this response only
	links []*link
}

func (w *linkedWriter) Write(content []byte) (int, error) {
	written := 0
	for len(content) > 0 {
		unit := content[:min(len(content), transferUnitBytes)]
		carry(w.ctx, len(unit), w.links...)
		n, err := w.ResponseWriter.Write(unit)
		written += n
		if err == nil {
			err = http.NewResponseController(w.ResponseWriter).Flush()
		}
		if err == nil {
			err = w.ctx.Err()
		}
		if err != nil {
			return written, err
		}
		content = content[len(unit):]
	}
	return written, nil
}

// largeStore is a store that holds one large item. Its answers pass over the link
// of the router that asks.
type largeStore struct {
	mu       sync.Mutex
	versions []mirror.Item
}

func (s *largeStore) write(value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := int64(len(s.versions) + 1)
	s.versions = append(s.versions, mirror.Item{Key: testKey, Value: value, Revision: revision})
	return revision
}

func (s *largeStore) after(revision int64) []mirror.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[min(revision, int64(len(s.versions))):]
}

// storeClient is one router's client of the store.
type storeClient struct {
	store *largeStore
	link  *link
}

func (c *storeClient) Snapshot(ctx context.Context) (mirror.Batch, error) {
	items := c.store.after(0)
	if len(items) == 0 {
		return mirror.Batch{Full: true}, nil
	}
	newest := items[len(items)-1]
	return mirror.Batch{Items: []mirror.Item{newest}, Revision: newest.Revision, Full: true}, c.receive(ctx, items[len(items)-1:])
}

func (c *storeClient) Watch(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	deadline := time.Now().Add(wait)
	items := c.store.after(after)
	for len(items) == 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		pause.For(ctx, 10*time.Millisecond)
		items = c.store.after(after)
	}
	if err := c.receive(ctx, items); err != nil {
		return mirror.Batch{}, err
	}
	revision := after + int64(len(items))
	return mirror.Batch{Items: items, Revision: revision}, ctx.Err()
}

func (c *storeClient) receive(ctx context.Context, items []mirror.Item) error {
	body, err := json.Marshal(items)
	if err != nil {
		return err
	}
	for size := len(body); size > 0 && ctx.Err() == nil; size -= transferUnitBytes {
		carry(ctx, min(size, transferUnitBytes), c.link)
	}
	return ctx.Err()
}

// adoption records when the routers receive the revisions.
type adoption struct {
	mu sync.Mutex
	// times holds, for each router, the time at which it received each revision or
	// a later one.
	times []map[int64]time.Time
}

func newAdoption(routers int) *adoption {
	a := &adoption{times: make([]map[int64]time.Time, routers)}
	for i := range a.times {
		a.times[i] = make(map[int64]time.Time)
	}
	return a
}

func (a *adoption) record(router int, changes []mirror.Change, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range changes {
		for revision := c.Item.Revision; revision > 0; revision-- {
			if _, known := a.times[router][revision]; known {
				break
			}
			a.times[router][revision] = now
		}
	}
}

// last returns when the last router received the revision, false if not all have.
func (a *adoption) last(revision int64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var last time.Time
	for _, times := range a.times {
		at, ok := times[revision]
		if !ok {
			return time.Time{}, false
		}
		if at.After(last) {
			last = at
		}
	}
	return last, true
}

// startSmallLinks starts routers whose links are small.
func startSmallLinks(t *testing.T, store *largeStore, count int) *adoption {
	t.Helper()
	adopted := newAdoption(count)
	links := make(map[string]*link)
	sockets := listen(t, count)
	for _, socket := range sockets {
		links[socket.Addr().String()] = &link{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	servers := make([]*http.Server, count)
	for i, socket := range sockets {
		address := socket.Addr().String()
		m := mirror.New(func(changes []mirror.Change, now time.Time) { adopted.record(i, changes, now) })
		pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now)
		p := newRouter(Options{Address: address, Seeds: []string{sockets[0].Addr().String()}, Mirror: m, Pool: pool})
		f := mirror.NewFollower(m, &storeClient{store: store, link: links[address]}, eventlog.Discard(), time.Now, 0, p.MustQueryStore)
		servers[i] = &http.Server{Handler: overLinks(p, address, links), ReadHeaderTimeout: time.Second}
		running.Go(func() { _ = servers[i].Serve(socket) })
		running.Go(func() { p.Run(ctx) })
		running.Go(func() { f.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range servers {
			_ = s.Close()
		}
		running.Wait()
	})
	return adopted
}

// overLinks serves exchanges over the links of this router and the one that asks.
func overLinks(p *Peers, address string, links map[string]*link) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var sender struct{ Address string }
		_ = json.Unmarshal(body, &sender)
		r.Body = io.NopCloser(bytes.NewReader(body))
		p.ServeHTTP(&linkedWriter{ResponseWriter: w, ctx: r.Context(), links: []*link{links[address], links[sender.Address]}}, r)
	})
}

// largeConfiguration returns a document of 300 kB in which one route differs from
// that of other versions.
func largeConfiguration(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range 1400 {
		service := i
		if i%100 == version%100 {
			service = version
		}
		fmt.Fprintf(&b, `{"name":"route-%04d-%016x","host":"host-%d.example","path_prefix":"/p%016x/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":100,"priority":2,"service":"service-%d","max_attempts":2},`,
			i, uint64(i)*0x9e3779b97f4a7c15, i%40, uint64(i)*0xbf58476d1ce4e5b9, service)
	}
	b.WriteString(`{}]}`)
	return []byte(b.String())
}

// Guards against routers that stay behind while a large configuration changes often, because their links carry no complete copy in time.
func TestLargeConfigurationIsInForceInTimeOnSmallLinks(t *testing.T) {
	const routers, changes = 16, 16
	store := &largeStore{}
	initial := store.write(largeConfiguration(0))
	adopted := startSmallLinks(t, store, routers)
	require.Eventually(t, func() bool { _, ok := adopted.last(initial); return ok }, 30*time.Second, 10*time.Millisecond)
	written := make([]time.Time, 0, changes)
	for v := 1; v <= changes; v++ {
		store.write(largeConfiguration(v))
		written = append(written, time.Now())
		pause.For(t.Context(), 500*time.Millisecond)
	}
	pause.For(t.Context(), inForceBound)
	for i, at := range written {
		revision := initial + 1 + int64(i)
		last, ok := adopted.last(revision)
		require.True(t, ok, "revision %d is not in force on all routers", revision)
		require.LessOrEqual(t, last.Sub(at), inForceBound, "revision %d", revision)
	}
}
