package admin

import (
	"io"
	"net/http"
	"net/http/pprof"
)

// Admin is the handler of a process's admin listener. Its address must not be
// reachable by callers.
type Admin struct {
	mux *http.ServeMux
}

// New returns a handler with the endpoints that all processes share:
//
//	GET  /healthz       200 while the process can respond at all
//	GET  /readyz        200 while it accepts new requests, else 503
//	POST /drain         starts a drain and returns 202
//	GET  /metrics       metrics in the Prometheus text format
//	GET  /debug/pprof/  profiles
func New(ready func() bool, drain func(), metrics http.Handler) *Admin {
	a := &Admin{mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, "ok\n")
	})
	a.mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			reply(w, http.StatusServiceUnavailable, "not accepting new work\n")
			return
		}
		reply(w, http.StatusOK, "ready\n")
	})
	a.mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		drain()
		reply(w, http.StatusAccepted, "draining\n")
	})
	a.mux.Handle("GET /metrics", metrics)
	a.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	a.mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	a.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	a.mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	a.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return a
}

// Handle adds an endpoint that only one kind of process has. The pattern has the
// syntax of http.ServeMux.
func (a *Admin) Handle(pattern string, handler http.Handler) { a.mux.Handle(pattern, handler) }

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
