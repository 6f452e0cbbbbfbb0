package listener

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/flamingohold/flamingohold/internal/connection/bytemeter"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// errUnsupportedVersion is returned for a request that is not HTTP/1.1. The
// library cannot stream a response to an HTTP/1.0 request.
var errUnsupportedVersion = errors.New("HTTP version is not supported")

// processor checks requests while they are received and passes them to the
// library's processor.
type processor struct {
	nbhttp.Processor
	connection *connection
	// maxBodyBytes bounds the size of a request body.
	maxBodyBytes int64
	// headerBytes is the number of bytes of the request target and the header
	// fields received so far.
	headerBytes int
	// lengths, encodings and hosts count the Content-Length, Transfer-Encoding
	// and Host fields.
	lengths, encodings, hosts int
	// expectsContinue is true if the caller waits for a 100 status before it sends
	// the body.
	expectsContinue bool
}

func (p *processor) OnURL(parser *nbhttp.Parser, uri string) error {
	p.headerBytes = len(uri)
	p.lengths, p.encodings, p.hosts, p.expectsContinue = 0, 0, 0, false
	return p.Processor.OnURL(parser, uri)
}

func (p *processor) OnProto(parser *nbhttp.Parser, proto string) error {
	if proto != "HTTP/1.1" {
		return errUnsupportedVersion
	}
	return p.Processor.OnProto(parser, proto)
}

func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.headerBytes += len(key) + len(value)
	if p.headerBytes > p.connection.listener.options.limits().MaxHeaderBytes {
		p.connection.refuse(headerTooLarge())
		return
	}
	if strings.ContainsFunc(value, isControl) {
		p.connection.refuse(malformedRequest("a header field contains a control character"))
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
	p.connection.meter.EndHeader(length, p.encodings > 0)
	switch {
	case p.lengths+p.encodings > 1:
		p.connection.refuse(malformedRequest("the request has more than one Content-Length or Transfer-Encoding"))
	case p.hosts != 1:
		p.connection.refuse(malformedRequest("the request has no Host or more than one"))
	case int64(length) > p.maxBodyBytes:
		p.connection.refuse(bodyTooLarge())
	case p.expectsContinue:
		p.connection.sendContinue()
	}
	p.Processor.OnContentLength(parser, length)
}

func (p *processor) OnComplete(parser *nbhttp.Parser) {
	p.connection.meter.EndRequest()
	if p.connection.beginRequest() {
		p.Processor.OnComplete(parser)
		return
	}
	p.Clean(parser)
}

// sendContinue sends status 100, unless the response to an earlier request is
// still in progress. In this case, the caller sends the body after its own
// timeout.
func (c *connection) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == 0 {
		_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func malformedRequest(detail string) problem.Problem {
	return problem.Rejected("malformed_request", http.StatusBadRequest, detail)
}

func bodyTooLarge() problem.Problem {
	return problem.Rejected("body_too_large", http.StatusRequestEntityTooLarge, "the request body exceeds the limit")
}

// overloaded is the refusal of a request for which the process has no memory left.
func overloaded() problem.Problem {
	return problem.NotRun("overloaded", "the requests in progress use the memory for requests", refusalRetryAfter)
}

func tooManyPipelined() problem.Problem {
	return problem.NotRun("too_many_pipelined", "the connection has too many requests without a response", refusalRetryAfter)
}

func headerTooLarge() problem.Problem {
	return problem.Rejected("header_too_large", http.StatusRequestHeaderFieldsTooLarge, "the request header exceeds the limit")
}

func refusalForViolation(v bytemeter.Violation) problem.Problem {
	switch v {
	case bytemeter.LineTooLong:
		return problem.Rejected("line_too_long", http.StatusRequestHeaderFieldsTooLarge, "a line of the request exceeds the limit")
	case bytemeter.TooManyFields:
		return problem.Rejected("too_many_fields", http.StatusRequestHeaderFieldsTooLarge, "the request has too many header fields")
	case bytemeter.TooManyEmptyLines:
		return problem.Rejected("too_many_empty_lines", http.StatusBadRequest, "too many empty lines precede the request")
	case bytemeter.BareCR:
		return malformedRequest("a carriage return precedes the request")
	default:
		return headerTooLarge()
	}
}

func refusalForParseError(err error) problem.Problem {
	switch {
	case errors.Is(err, nbhttp.ErrTooLong):
		return bodyTooLarge()
	case errors.Is(err, errUnsupportedVersion):
		return problem.Rejected("unsupported_version", http.StatusHTTPVersionNotSupported, "only HTTP/1.1 is supported")
	default:
		return malformedRequest(err.Error())
	}
}
