package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	idHeader       = "X-Flamingohold-Attempt-Id"
	sealHeader     = "X-Flamingohold-Response-Seal"
	deadlineHeader = "X-Flamingohold-Deadline-Ms"
	expectHeader   = "X-Flamingohold-Expect-Instance"
)

const (
	// orderTimeout is the timeout_ms of the routes for orders.
	orderTimeout = 1500 * time.Millisecond
	// late is how much longer clients wait for an answer.
	late = 500 * time.Millisecond
)

// desk is a sound worker of a plain service.
type desk struct {
	id  string
	bed *bed
	// quiet leaves the runs out of the record.
	quiet bool
	mu    sync.Mutex
	runs  map[string]int
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(idHeader)
	w.Header().Set(idHeader, id)
	if expected := r.Header.Get(expectHeader); expected != "" && expected != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	d.mu.Lock()
	d.runs[id]++
	d.mu.Unlock()
	if !d.quiet {
		d.bed.log("worker %s runs %s", d.id, id)
	}
	time.Sleep(15 * time.Millisecond)
	w.Header().Set(sealHeader, "seal-"+d.id)
	fmt.Fprintf(w, "done %s", id)
}

// runCount returns how often the worker ran the request.
func (d *desk) runCount(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}
