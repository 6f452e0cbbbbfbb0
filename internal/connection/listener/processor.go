package listener

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/flamingohold/flamingohold/pkg/problem"
)

// errVersion is returned for a request that is not HTTP/1.1. The library cannot
// stream an answer to HTTP/1.0.
var errVersion = errors.New("protocol version is not supported")

// processor checks requests while they arrive, before the library's own
// processor sees them.
type processor struct {
	nbhttp.Processor
	connection *connection
	// maxBody bounds the body in bytes.
	maxBody int64
	// headerBytes is the size of the request line and header so far.
	headerBytes int
	// lengths and encodings count the headers that delimit the body, and hosts
	// those that name the host.
	lengths, encodings, hosts int
	// expectsContinue is true if the caller waits before it sends the body.
	expectsContinue bool
}

func (p *processor) OnURL(parser *nbhttp.Parser, uri string) error {
	p.headerBytes = len(uri)
	p.lengths, p.encodings, p.hosts, p.expectsContinue = 0, 0, 0, false
	return p.Processor.OnURL(parser, uri)
}

func (p *processor) OnProto(parser *nbhttp.Parser, proto string) error {
	if proto != "HTTP/1.1" {
		return errVersion
	}
	return p.Processor.OnProto(parser, proto)
}

func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.headerBytes += len(key) + len(value)
	if p.headerBytes > p.connection.listener.options.limits().MaxHeaderBytes {
		p.connection.refuse(problem.Rejected("header_too_large", http.StatusRequestHeaderFieldsTooLarge, "the request header exceeds the limit"))
		return
	}
	if strings.ContainsFunc(value, isControl) {
		p.connection.refuse(malformed("a header field contains a control character"))
		return
	}
	switch key {
	case "Host":
		p.hosts++
	case "Content-Length":
		p.lengths++
	case "Transfer-Encoding":
		p.encodings++
	case "Expect":
		p.expectsContinue = value == "100-continue"
	}
	p.Processor.OnHeader(parser, key, value)
}

func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.connection.endHeader()
	switch {
	case p.lengths+p.encodings > 1:
		p.connection.refuse(malformed("the request has more than one Content-Length or Transfer-Encoding"))
	case p.hosts != 1:
		p.connection.refuse(malformed("the request has no Host or more than one"))
	case int64(length) > p.maxBody:
		p.connection.refuse(bodyTooLarge())
	case p.expectsContinue:
		p.connection.sendContinue()
	}
	p.Processor.OnContentLength(parser, length)
}

func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.connection.beginRequest() {
		p.Processor.OnComplete(parser)
		return
	}
	p.Clean(parser)
}

// sendContinue tells the caller to send the body, unless an answer to an
// earlier request is being sent; the caller then goes on by itself.
func (c *connection) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == 0 {
		_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func malformed(detail string) problem.Problem {
	return problem.Rejected("malformed_request", http.StatusBadRequest, detail)
}

func bodyTooLarge() problem.Problem {
	return problem.Rejected("body_too_large", http.StatusRequestEntityTooLarge, "the request body exceeds the limit")
}

func refusalFor(err error) problem.Problem {
	switch {
	case errors.Is(err, nbhttp.ErrTooLong):
		return bodyTooLarge()
	case errors.Is(err, errVersion):
		return problem.Rejected("unsupported_version", http.StatusHTTPVersionNotSupported, "only HTTP/1.1 is supported")
	default:
		return malformed(err.Error())
	}
}
