package bytemeter

import "bytes"

// Violation is the limit that a request exceeds.
type Violation int

// Violations. None is that of a request within the limits.
const (
	None Violation = iota
	// HeaderTooLarge is a request line, header and trailer of too many bytes together.
	HeaderTooLarge
	// LineTooLong is a line of too many bytes: the request line, a header or trailer
	// field, or the line before a chunk.
	LineTooLong
	// TooManyFields is a header and trailer of too many fields together.
	TooManyFields
	// TooManyEmptyLines is too many empty lines before a request.
	TooManyEmptyLines
	// BareCR is a carriage return before a request without a line feed after it.
	BareCR
)

const (
	// framingBytes is the number of bytes of a line that are not counted: its end, and
	// the colon and the space after a field's name. Package listener does not count
	// them towards the limit of a header either.
	framingBytes = 4
	// requestLineSlack is the number of bytes that a header may have in addition, for
	// the method and the version in the request line.
	requestLineSlack = 64
)

// Limits are the limits of one request.
type Limits struct {
	// HeaderBytes bounds the request line, the header and the trailer without the
	// framing of their lines.
	HeaderBytes int
	// LineBytes bounds one line with its framing.
	LineBytes int
	// Fields bounds the number of fields of the header and the trailer.
	Fields int
	// EmptyLines bounds the number of empty lines before the request.
	EmptyLines int
}

// Kind is what a piece contains.
type Kind int

// Kinds of pieces.
const (
	// KindHeader is a part of a line that the parser keeps until the line ends.
	KindHeader Kind = iota
	// KindBody is a part of a body or a chunk.
	KindBody
	// KindSkipped is a part of an empty line before a request, which the parser does
	// not accept.
	KindSkipped
)

// Piece is a prefix of the data to pass to the parser, or a violation.
type Piece struct {
	// Size is the number of bytes, at least 1 unless there is a violation.
	Size int
	Kind Kind
	// EndsLine is true if a line of the header ends with the piece.
	EndsLine  bool
	Violation Violation
}

// state is the part of a request that is expected next.
type state int

const (
	stateStart state = iota
	// stateLines is the request line, the header or the trailer.
	stateLines
	stateBody
	stateChunkLine
	stateChunk
)

// Meter counts the bytes of the requests on one connection. The zero value expects a
// request. It is not safe for concurrent use.
type Meter struct {
	state state
	// header, line, fields and empty count towards the limits.
	header, line, fields, empty int
	// last is the last byte of the latest piece.
	last byte
	// headerEnded is true once the parser has seen the end of the header.
	headerEnded bool
	chunked     bool
	// remaining is the number of bytes left of a body, or of a chunk and its end.
	remaining int64
	// size is the size of the next chunk, and sizeComplete true once it is complete.
	size         int64
	sizeComplete bool
}

// AtStart reports whether no piece of a request has been returned.
func (m *Meter) AtStart() bool { return m.state == stateStart }

// EndHeader records that the parser has seen the end of a header. length is the
// size of the body, not positive if there is none or it is chunked.
func (m *Meter) EndHeader(length int, chunked bool) {
	m.headerEnded, m.chunked, m.remaining = true, chunked, int64(length)
}

// EndRequest records that the parser has seen the end of a request.
func (m *Meter) EndRequest() { *m = Meter{} }

// Next returns the next piece of the data, which must not be empty.
func (m *Meter) Next(data []byte, l Limits) Piece {
	if m.headerEnded && m.last == '\n' {
		m.beginBody()
	}
	var p Piece
	switch m.state {
	case stateStart:
		p = m.start(data, l)
	case stateLines:
		p = m.lines(data, l)
	case stateChunkLine:
		p = m.chunkLine(data, l)
	case stateBody, stateChunk:
		p = m.body(data)
	}
	if p.Violation == None {
		m.last = data[p.Size-1]
	}
	return p
}

func (m *Meter) beginBody() {
	m.headerEnded, m.line = false, 0
	// The empty line at the end of the header is no field, and a trailer may follow.
	m.fields--
	m.state = stateBody
	if m.chunked {
		m.beginChunk()
	}
}

func (m *Meter) beginChunk() { m.state, m.line, m.size, m.sizeComplete = stateChunkLine, 0, 0, false }

// start skips empty lines.
func (m *Meter) start(data []byte, l Limits) Piece {
	switch {
	case m.last == '\r' && data[0] != '\n':
		return Piece{Violation: BareCR}
	case m.last == '\r':
		m.empty++
		return Piece{Size: 1, Kind: KindSkipped}
	case data[0] == '\r' && m.empty >= l.EmptyLines:
		return Piece{Violation: TooManyEmptyLines}
	case data[0] == '\r':
		return Piece{Size: 1, Kind: KindSkipped}
	}
	m.state = stateLines
	return m.lines(data, l)
}

// lines cuts after the next line feed. It returns the bytes within the limits before
// it returns a violation, so that the parser's verdict on them takes precedence
// however the data are split.
func (m *Meter) lines(data []byte, l Limits) Piece {
	if m.line == 0 && m.fields > l.Fields+1 {
		return Piece{Violation: TooManyFields}
	}
	size := len(data)
	end := bytes.IndexByte(data, '\n')
	if end >= 0 {
		size = end + 1
	}
	uncounted := max(0, framingBytes-m.line)
	headerLeft := l.HeaderBytes + requestLineSlack - m.header + uncounted
	allowed, violation := headerLeft, HeaderTooLarge
	if lineLeft := l.LineBytes - m.line; lineLeft < allowed {
		allowed, violation = lineLeft, LineTooLong
	}
	if allowed <= 0 {
		return Piece{Violation: violation}
	}
	cut := min(size, allowed)
	m.header += max(0, cut-uncounted)
	m.line += cut
	ends := end >= 0 && cut == size
	if ends {
		// The request line and the empty line at the end count, too, which lines
		// allows for.
		m.fields++
		m.line = 0
	}
	return Piece{Size: cut, EndsLine: ends}
}

// chunkLine cuts after the line before a chunk, which ends with CR LF. The parser
// reads the size up to the first byte that is no hexadecimal digit.
func (m *Meter) chunkLine(data []byte, l Limits) Piece {
	allowed := min(len(data), l.LineBytes-m.line)
	if allowed <= 0 {
		return Piece{Violation: LineTooLong}
	}
	for i, b := range data[:allowed] {
		if m.last == '\r' && m.line > 0 {
			m.endChunkLine()
			return Piece{Size: i + 1}
		}
		m.addDigit(b)
		m.last = b
		m.line++
	}
	return Piece{Size: allowed}
}

func (m *Meter) addDigit(b byte) {
	digit := int64(-1)
	switch {
	case b >= '0' && b <= '9':
		digit = int64(b - '0')
	case b >= 'a' && b <= 'f':
		digit = int64(b-'a') + 10
	case b >= 'A' && b <= 'F':
		digit = int64(b-'A') + 10
	}
	if digit < 0 || m.sizeComplete {
		m.sizeComplete = true
		return
	}
	if m.size < 1<<56 {
		m.size = m.size<<4 | digit
	}
}

func (m *Meter) endChunkLine() {
	m.line = 0
	if m.size == 0 {
		m.state = stateLines
		return
	}
	// CR LF follows the chunk.
	m.state, m.remaining = stateChunk, m.size+2
}

func (m *Meter) body(data []byte) Piece {
	cut := max(1, min(int64(len(data)), m.remaining))
	m.remaining -= cut
	if m.state == stateChunk && m.remaining <= 0 {
		m.beginChunk()
	}
	return Piece{Size: int(cut), Kind: KindBody}
}
