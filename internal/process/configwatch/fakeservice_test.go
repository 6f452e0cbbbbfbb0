package configwatch_test

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/bundle"
)

// connectionKey is the context key of the number of a connection.
type connectionKey struct{}

// fakeService implements the part of the Consul key-value API that the watcher
// uses.
type fakeService struct {
	server *httptest.Server

	mu     sync.Mutex
	values map[string][]byte
	index  uint64
	down   bool
	// connections is the number of accepted connections. Requests on the first
	// unresponsive connections get no response.
	connections, unresponsive int
	changed                   chan struct{}
	// reads counts all calls, and chunkReads the calls for chunks.
	reads, chunkReads int
}

func newFakeService(t *testing.T) *fakeService {
	f := &fakeService{values: make(map[string][]byte), index: 1, changed: make(chan struct{})}
	f.server = httptest.NewUnstartedServer(f)
	f.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.connections++
		return context.WithValue(ctx, connectionKey{}, f.connections)
	}
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeService) address() string { return strings.TrimPrefix(f.server.URL, "http://") }

// change applies the edit and ends all waiting watches.
func (f *fakeService) change(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
	f.index++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeService) put(values map[string][]byte) { f.change(func() { maps.Copy(f.values, values) }) }

func (f *fakeService) setDown(down bool) { f.change(func() { f.down = down }) }

// stopResponding makes the service stop responding on the existing connections.
func (f *fakeService) stopResponding() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive = f.connections
}

// isUnresponsive reports whether requests on the request's connection get no
// response.
func (f *fakeService) isUnresponsive(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	number, _ := r.Context().Value(connectionKey{}).(int)
	return number <= f.unresponsive
}

// publish stores the bundle's values after the edits have been applied to them.
func (f *fakeService) publish(t *testing.T, b *bundle.Bundle, edits ...func(map[string][]byte)) {
	data, err := b.Manifest.Encode()
	require.NoError(t, err)
	values := map[string][]byte{"flamingohold/manifest": data}
	for hash, chunk := range b.Chunks {
		values["flamingohold/chunks/"+hash] = chunk
	}
	for _, edit := range edits {
		edit(values)
	}
	f.put(values)
}

func (f *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	f.mu.Lock()
	f.reads++
	if strings.Contains(r.URL.Path, "/chunks/") {
		f.chunkReads++
	}
	changed := f.changed
	if index != f.index {
		wait = 0
	}
	f.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	if f.isUnresponsive(r) {
		<-r.Context().Done()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(f.index, 10))
	value, ok := f.values[strings.TrimPrefix(r.URL.Path, "/v1/kv/")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
	}
	_, _ = w.Write(value)
}
