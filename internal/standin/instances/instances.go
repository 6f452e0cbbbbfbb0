package instances

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
)

// defaultWait is how long a blocking query without a wait parameter waits.
const defaultWait = 30 * time.Second

// List is a stand-in instance list. It is safe for concurrent use.
type List struct {
	// lag is the time from a change until it is visible.
	lag time.Duration

	mu sync.Mutex
	// index increases with each visible change.
	index   uint64
	visible []instance.Instance
	// actual includes changes that are not visible yet.
	actual []instance.Instance
	// changed is closed and replaced when visible changes.
	changed chan struct{}
}

// New returns a list of the initial instances, which are visible at once. Later
// changes become visible after the lag.
func New(initial []instance.Instance, lag time.Duration) *List {
	return &List{
		lag:     lag,
		index:   1,
		visible: append([]instance.Instance{}, initial...),
		actual:  slices.Clone(initial),
		changed: make(chan struct{}),
	}
}

// listResponse is the response body of GET /v1/instances.
type listResponse struct {
	Index     uint64              `json:"index"`
	Instances []instance.Instance `json:"instances"`
}

// Handler serves GET /v1/instances and, under /admin, puts and deletes instances.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.handleGet)
	mux.HandleFunc("PUT /admin/instances/{name}", l.handlePut)
	mux.HandleFunc("DELETE /admin/instances/{name}", func(_ http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("name"))
	})
	return mux
}

// Put adds the instance or replaces the one with its name.
func (l *List) Put(i instance.Instance) {
	l.change(func(list []instance.Instance) []instance.Instance {
		list = without(list, i.Name)
		return append(list, i)
	})
}

// Remove deletes the instance with the name, if there is one.
func (l *List) Remove(name string) {
	l.change(func(list []instance.Instance) []instance.Instance { return without(list, name) })
}

func without(list []instance.Instance, name string) []instance.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(i instance.Instance) bool { return i.Name == name })
}

// change applies edit to the actual list, and publishes the result after the lag.
func (l *List) change(edit func([]instance.Instance) []instance.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actual = edit(l.actual)
	slices.SortFunc(l.actual, func(a, b instance.Instance) int { return strings.Compare(a.Name, b.Name) })
	snapshot := l.actual
	time.AfterFunc(l.lag, func() { l.publish(snapshot) })
}

// publish makes the snapshot visible and notifies waiting readers.
func (l *List) publish(snapshot []instance.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visible = snapshot
	l.index++
	close(l.changed)
	l.changed = make(chan struct{})
}

// read returns the visible list and a channel that is closed when it changes.
func (l *List) read() (listResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return listResponse{l.index, l.visible}, l.changed
}

func (l *List) handleGet(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	response, changed := l.read()
	for after != 0 && response.Index == after {
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			after = 0
		case <-changed:
			response, changed = l.read()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// handlePut sets the instance's fields that the body contains and keeps its other
// fields.
func (l *List) handlePut(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	i := l.actualInstance(name)
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Name = name
	l.Put(i)
}

// actualInstance returns the instance with the name, or the zero value if there is
// none.
func (l *List) actualInstance(name string) instance.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := slices.IndexFunc(l.actual, func(i instance.Instance) bool { return i.Name == name })
	if n < 0 {
		return instance.Instance{}
	}
	return l.actual[n]
}
