package upstreamclient

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Answer is an answer whose body has not been read yet. It must not be used by
// several goroutines at once.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if the answer does not state
	// it.
	Length int64

	body       io.ReadCloser
	connection *connection
	// mustClose is true if the connection cannot be reused after the answer.
	mustClose bool
	chunked   bool
	// stop stops closing the connection at the end of ctx. It returns false if
	// ctx has ended.
	stop func() bool
	// sent receives the result of writing the request.
	sent <-chan error
	ctx  context.Context //nolint:containedctx // it is the context of this exchange only
	// buffered is the part of the body that Body has read.
	buffered share
	// reserved is what Reserve counted.
	reserved share
	// complete is true once the body was read to its proper end.
	complete bool
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) }

// Read reads from the body. It returns io.EOF only at the proper end of the
// body: at its length, after its last chunk, or, for an answer without either,
// where the peer closed the connection.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if err == nil {
		return n, nil
	}
	if isEnd(err) && a.ctx.Err() == nil {
		a.complete = true
		return n, io.EOF
	}
	return n, &Failure{Step: "receive", Address: a.connection.address, Sent: true, Err: cause(a.ctx, err)}
}

// Body reads the complete body. A body of more than limit bytes is an error.
func (a *Answer) Body(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(&bufferedReader{a}, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, a.tooLarge(limit)
	}
	return body, nil
}

func (a *Answer) tooLarge(limit int64) error {
	return &Failure{Step: "receive", Address: a.connection.address, Sent: true, Err: errors.Newf("body exceeds %d bytes", limit)}
}

// bufferedReader counts what it reads until the answer is closed.
type bufferedReader struct{ answer *Answer }

// Read implements io.Reader.
func (r *bufferedReader) Read(buffer []byte) (int, error) {
	a := r.answer
	n, err := a.Read(buffer)
	if exceeded := a.count(&a.buffered, int64(n)); exceeded != nil {
		return n, exceeded
	}
	return n, err
}

// Reserve counts bytes of a stream that its reader keeps, until the answer is closed.
// It returns an error if the readers of all streams keep too many together.
func (a *Answer) Reserve(bytes int64) error {
	return a.count(&a.reserved, bytes)
}

func (a *Answer) count(s *share, bytes int64) error {
	if err := s.add(bytes); err != nil {
		return &Failure{Step: "receive", Address: a.connection.address, Sent: true, Err: err}
	}
	return nil
}

// Close ends the exchange. The connection is kept for reuse if the request was
// sent completely, the body was read to its end and no bytes follow it.
func (a *Answer) Close() {
	a.buffered.release()
	a.reserved.release()
	stopped := a.stop()
	if !stopped || !a.complete || a.mustClose || len(a.connection.carried) >= maxCarried || !a.requestSent() || a.connection.reader.Buffered() > 0 {
		a.connection.close()
		return
	}
	a.connection.idleSince = a.connection.pool.clock()
	a.connection.pool.putIdle(a.connection)
}

// requestSent reports whether the complete request has been written. Until then
// the connection cannot be reused: the peer would parse the rest of the request as
// the next one.
func (a *Answer) requestSent() bool {
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// Complete reports whether the body was read to its proper end.
func (a *Answer) Complete() bool { return a.complete }

// CloseDelimited reports whether only the end of the connection delimits the
// body.
func (a *Answer) CloseDelimited() bool { return a.Length < 0 && !a.chunked }
