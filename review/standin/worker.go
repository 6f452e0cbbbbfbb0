package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	worker, id string
	path       string
	at         time.Time
}

// worker is a stand-in for one worker, in this process.
type worker struct {
	record            *record
	id, service, zone string
	address           string
	born              int64
	sequence          int
	// quiet is true if single requests are not recorded.
	quiet bool
	// answer answers a request after the checks that every worker makes.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	arrivals []run
}

// startWorker starts a worker on a free port of the address.
func startWorker(rec *record, id, service, zone, ip string, answer func(w http.ResponseWriter, r *http.Request, body []byte)) *worker {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	w := &worker{record: rec, id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), answer: answer}
	go func() { _ = (&http.Server{Handler: w, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return w
}

// entry returns the worker's entry in the store with the state.
func (w *worker) entry(state string) map[string]any {
	w.sequence++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
}

// runs returns the requests that the worker began to work on.
func (w *worker) runs() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.arrivals...)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" || r.URL.Path == "/health" {
		rw.Header().Set("X-Flamingohold-Instance-Id", w.id)
		return
	}
	at := time.Now()
	id := r.Header.Get("X-Flamingohold-Attempt-Id")
	rw.Header().Set("X-Flamingohold-Attempt-Id", id)
	if expected := r.Header.Get("X-Flamingohold-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Flamingohold-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, run{w.id, id, r.URL.Path, at})
	w.mu.Unlock()
	if !w.quiet {
		w.record.add("worker %s: request %s arrives: %s %s, %d bytes", w.id, id, r.Method, r.URL.RequestURI(), len(body))
	}
	w.answer(rw, r, body)
}

func (w *worker) seal(id string) string { return fmt.Sprintf("%s.%s", w.id, id) }
