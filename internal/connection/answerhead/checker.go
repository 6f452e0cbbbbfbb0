package answerhead

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for an answer whose head is malformed. Neither its status nor
// its length can be relied on.
var ErrMalformed = errors.New("malformed head of an answer")

// MaxStatus is the highest valid status (RFC 9110, section 15).
const MaxStatus = 599

const (
	// version is the start of a status line, which a minor version of one digit follows.
	version = "HTTP/1."
	// statusStart and statusEnd delimit the status in a status line (RFC 9112, section 4).
	statusStart = len(version) + len("1 ")
	statusEnd   = statusStart + len("200")
	// minStatus is the lowest valid status.
	minStatus = 100
)

// state is the part of a head to which the next byte belongs.
type state int

const (
	// statusLine: the status line up to the byte behind the status.
	statusLine state = iota
	// restOfLine: the rest of the status line or of a field.
	restOfLine
	// lineStart: the first byte of a field, or of the end of the head.
	lineStart
	// fieldName: the name of a field behind its first byte, up to the colon.
	fieldName
	// headEnd: the line feed that ends the head.
	headEnd
	// done: everything behind the head.
	done
)

// Checker checks the head of one answer and the interim (1xx) heads before it. Its zero
// value is ready for use. It must not be used by several goroutines at once.
type Checker struct {
	state state
	// position is the number of bytes of the status line before the next one, at most
	// statusEnd.
	position int
	// status is the number that the digits of the status so far form.
	status int
}

// Check checks the next bytes that were received, and ignores those behind the head. It
// returns ErrMalformed, with the cause, as soon as the head cannot be valid. The bytes must
// not be used then, and the Checker only after Reset.
func (c *Checker) Check(data []byte) error {
	for _, b := range data {
		if c.Done() {
			return nil
		}
		if err := c.next(b); err != nil {
			return err
		}
	}
	return nil
}

// Done reports whether the head has been received completely.
func (c *Checker) Done() bool { return c.state == done }

// Reset prepares the Checker for the head of another answer.
func (c *Checker) Reset() { *c = Checker{} }

func (c *Checker) next(b byte) error {
	switch c.state {
	case statusLine:
		return c.nextOfStatusLine(b)
	case restOfLine:
		if b == '\n' {
			c.state = lineStart
		}
	case lineStart:
		switch b {
		case '\r':
			c.state = headEnd
		case '\n':
			c.endHead()
		default:
			return c.nextOfName(b)
		}
	case fieldName:
		if b == ':' {
			c.state = restOfLine
			return nil
		}
		return c.nextOfName(b)
	case headEnd:
		if b != '\n' {
			return errors.Wrapf(ErrMalformed, "byte %q behind a carriage return", b)
		}
		c.endHead()
	case done:
	}
	return nil
}

// nextOfStatusLine checks a byte of "HTTP/1.x NNN" or the byte behind it.
func (c *Checker) nextOfStatusLine(b byte) error {
	position := c.position
	c.position++
	var valid bool
	switch {
	case position < len(version):
		valid = b == version[position]
	case position == len(version):
		valid = isDigit(b)
	case position < statusStart:
		valid = b == ' '
	case position < statusEnd:
		c.status = 10*c.status + int(b-'0')
		valid = isDigit(b)
	default:
		return c.endStatus(b)
	}
	if !valid {
		return errors.Wrapf(ErrMalformed, "byte %q at position %d of the status line", b, position)
	}
	return nil
}

// endStatus checks the status and the byte behind it.
func (c *Checker) endStatus(b byte) error {
	if c.status < minStatus || c.status > MaxStatus {
		return errors.Wrapf(ErrMalformed, "status %03d", c.status)
	}
	if c.status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %d, which no request asked for", c.status)
	}
	switch b {
	case ' ', '\r':
		c.state = restOfLine
	case '\n':
		c.state = lineStart
	default:
		return errors.Wrapf(ErrMalformed, "byte %q behind the status", b)
	}
	return nil
}

// nextOfName checks a byte of the name of a field, which must be a token (RFC 9112, section
// 5). Blanks at the start of a line, which once continued the field before, and those behind a
// name are refused too: the sender may mean them otherwise, and the field may be the length.
func (c *Checker) nextOfName(b byte) error {
	if !httpguts.IsTokenRune(rune(b)) {
		return errors.Wrapf(ErrMalformed, "byte %q in the name of a field", b)
	}
	c.state = fieldName
	return nil
}

// endHead ends the check, or prepares it for the head that follows an interim one.
func (c *Checker) endHead() {
	interim := c.status < http.StatusOK
	c.Reset()
	if !interim {
		c.state = done
	}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
