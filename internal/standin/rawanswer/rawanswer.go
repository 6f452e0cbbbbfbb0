// Package rawanswer is a stand-in for upstreams and other processes that send faulty
// answers, which the HTTP server library would not write.
package rawanswer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
)

// Handler returns a handler that writes the answer to each request as it is, and keeps the
// connection open until its caller closes it.
func Handler(answer func(*http.Request) string) http.HandlerFunc {
	return handler(answer, readRest)
}

// handler returns a handler that writes the answer to each request as it is, before it has read
// the body, and calls end before it closes the connection.
func handler(answer func(*http.Request) string, end func(*net.TCPConn)) http.HandlerFunc {
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
		if tcp, ok := connection.(*net.TCPConn); ok {
			end(tcp)
		}
	}
}

// Serve starts a server that writes the answer to each request as it is, and returns its
// "ip:port". The server is closed when the test ends.
func Serve(t interface{ Cleanup(func()) }, answer string) string {
	return ServeEarly(t, answer, readRest)
}

// ServeEarly is Serve with a function that is called after the answer was written, before the
// connection is closed. The body of the request has not been read.
func ServeEarly(t interface{ Cleanup(func()) }, answer string, end func(*net.TCPConn)) string {
	server := httptest.NewServer(handler(func(*http.Request) string { return answer }, end))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Reset makes the next Close of the connection reset it.
func Reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// CloseAndRead closes the connection for writing and reads the rest of the request.
func CloseAndRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	readRest(c)
}

// readRest reads until the caller closes the connection.
func readRest(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
