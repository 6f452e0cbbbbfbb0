// Package rawanswer is a stand-in for upstreams and other processes that send faulty
// answers, which the HTTP server library would not write.
package rawanswer

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// Handler returns a handler that writes the answer to each request as it is, and keeps the
// connection open until its caller closes it.
func Handler(answer func(*http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		defer func() { _ = connection.Close() }()
		if _, err := io.WriteString(connection, answer(r)); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, connection)
	}
}

// Serve starts a server that writes the answer to each request as it is, and returns its
// "ip:port". The server is closed when the test ends.
func Serve(t interface{ Cleanup(func()) }, answer string) string {
	server := httptest.NewServer(Handler(func(*http.Request) string { return answer }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
