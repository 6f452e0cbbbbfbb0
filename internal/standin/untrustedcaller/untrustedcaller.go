package untrustedcaller

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 10 * time.Second
	// floodBytes is what a caller sends on one connection, unless the process closes it
	// or stops reading.
	floodBytes = 12 << 20
	// sendTimeout bounds the time for which a caller sends.
	sendTimeout = 3 * time.Second
	// legalHeaderBytes is the size of a request with very many fields. It is below the
	// limit of 16,384 bytes.
	legalHeaderBytes = 16_000
	// lineBytes is the size of a header line of a caller that exceeds the limit with
	// many lines.
	lineBytes = 1 << 10
	// bodyBytes is the size of a body that the upstream sends back in its response.
	bodyBytes = 1 << 20
	// floodConnections and singleConnections are the numbers of connections of a
	// caller that sends as much as it can, and of one that sends a single request on
	// each connection.
	floodConnections  = 20
	singleConnections = 150
)

// Caller is a caller that the operator does not control. It reads no response.
type Caller struct {
	Name string
	// connections is the number of connections that it opens.
	connections int
	// start is sent first, and unit repeatedly after it until limit bytes are sent.
	start, unit string
	limit       int
}

// Target is what the callers' requests name.
type Target struct {
	Host string
	// Path is the path of a route that echoes bodies, and SlowPath the path of a route
	// whose response takes seconds.
	Path, SlowPath string
	// Key is an account's key, which only some of the callers know.
	Key string
}

// Callers returns all callers.
func Callers(t Target) []Caller {
	line := "GET " + t.Path + " HTTP/1.1\r\n"
	host := "Host: " + t.Host + "\r\n"
	key := "Authorization: Bearer " + t.Key + "\r\n"
	chunked := "POST " + t.Path + " HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n"
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("b", bodyBytes)
	slow := "POST " + t.SlowPath + " HTTP/1.1\r\n"
	filler := strings.Repeat("a", lineBytes)
	return []Caller{
		{"header lines over the limit", floodConnections, line + host, "X-A: " + filler + "\r\n", floodBytes},
		{"header line without end", floodConnections, line + "X-A: ", filler, floodBytes},
		{"request line without end", floodConnections, "GET /", filler, floodBytes},
		{"method without end", floodConnections, "", strings.Repeat("G", lineBytes), floodBytes},
		{"empty lines", floodConnections, "", "\r\n", floodBytes},
		{"trailer without end", floodConnections, chunked + "Trailer: X-T\r\n\r\n0\r\nX-T: ", filler, floodBytes},
		{"chunk extension without end", floodConnections, chunked + "\r\n1;a=", filler, floodBytes},
		{"pipelined requests", floodConnections, "", line + host + "\r\n", floodBytes},
		{"pipelined requests with a key", floodConnections, "", line + host + key + "\r\n", floodBytes},
		{"pipelined requests with many fields", floodConnections, "", manyFields(line + host), floodBytes},
		{"pipelined requests with many fields and a key", floodConnections, "", manyFields(line + host + key), floodBytes},
		{"unread responses", floodConnections, "", "POST " + t.Path + " HTTP/1.1\r\n" + host + key + body, floodBytes},
		{"requests with many fields", singleConnections, manyFields(slow + host), "", 0},
		{"requests with many fields and a key", singleConnections, manyFields(slow + host + key), "", 0},
	}
}

// manyFields returns a request of legal size that has as many short fields as
// possible after the start of its header.
func manyFields(start string) string {
	var b strings.Builder
	b.WriteString(start)
	for n := 0; b.Len() < legalHeaderBytes; n++ {
		fmt.Fprintf(&b, "~%x:\r\n", n)
	}
	b.WriteString("\r\n")
	return b.String()
}

// Run opens the connections and sends on all of them at the same time. It returns
// once each connection has sent everything, was closed, or took nothing more. The
// connections stay open until the function that it returns is called.
func (c Caller) Run(address string) (closeAll func(), err error) {
	connections := make([]net.Conn, 0, c.connections)
	closeAll = func() {
		for _, open := range connections {
			_ = open.Close()
		}
	}
	for range c.connections {
		opened, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			closeAll()
			return nil, err
		}
		connections = append(connections, opened)
	}
	var senders sync.WaitGroup
	for _, open := range connections {
		senders.Go(func() { c.send(open) })
	}
	senders.Wait()
	return closeAll, nil
}

// send sends on one connection. That the process closes it is no error.
func (c Caller) send(w net.Conn) {
	_ = w.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := io.WriteString(w, c.start); err != nil || c.unit == "" {
		return
	}
	block := strings.Repeat(c.unit, max(1, lineBytes*32/len(c.unit)))
	for sent := 0; sent < c.limit; sent += len(block) {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}
