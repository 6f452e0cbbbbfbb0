package upstreamclient

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is one request as it is sent.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header must not contain hop-by-hop fields.
	Header http.Header
	Body   []byte
	// ID identifies the request, empty for one without an identifier.
	ID string
	// AnsweredID returns the identifier of the request that an answer names, empty for
	// none; nil accepts every answer. Answers to other requests are discarded. So is an
	// answer to a request with an identifier that names none, unless it is the first on
	// its connection: it may be one to an earlier request.
	AnsweredID func(http.Header) string
	// BeforeSend is called once a connection is open, right before the first byte is
	// written. After an error nothing is sent. It may be nil.
	BeforeSend func() error
	// MustBeFresh requires a new connection or one that has been idle for at most
	// 1.5 s, for requests that are not repeatable.
	MustBeFresh bool
}

// admit returns the error of BeforeSend.
func (r *Request) admit() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || hasBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
