package exchange

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Answer is an answer whose body is still to be read. It must not be used by
// several goroutines at once.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 if the answer does not say it.
	Length int64

	body       io.ReadCloser
	connection *connection
	closes     bool
	chunked    bool
	stop       func() bool
	sent       <-chan error
	ctx        context.Context //nolint:containedctx // it is that of the one exchange
	// whole is true once the body was read to its proper end.
	whole bool
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) }

// Read reads from the body. It returns io.EOF only at the proper end of the
// body: at its length, after its last chunk, or where the peer closed the
// connection of an answer without either.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if err == nil {
		return n, nil
	}
	if isEnd(err) && a.ctx.Err() == nil {
		a.whole = true
		return n, io.EOF
	}
	return n, &Failure{Step: "receive", Address: a.connection.address, Sent: true, Err: cause(a.ctx, err)}
}

// Body reads the whole body, at most limit bytes.
func (a *Answer) Body(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &Failure{Step: "receive", Address: a.connection.address, Sent: true, Err: errors.Newf("the body exceeds %d bytes", limit)}
	}
	return body, nil
}

// Close ends the exchange. The connection is kept if the body was read to its
// end and nothing follows it.
func (a *Answer) Close() {
	stopped := a.stop()
	if !stopped || !a.whole || a.closes || !a.requestSent() || a.connection.reader.Buffered() > 0 {
		a.connection.close()
		return
	}
	a.connection.idleSince = a.connection.pool.clock()
	a.connection.pool.putIdle(a.connection)
}

// requestSent reports whether the peer has taken the whole request. The rest of
// a request must not be mistaken for the next one.
func (a *Answer) requestSent() bool {
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// Whole reports whether the body was read to its proper end.
func (a *Answer) Whole() bool { return a.whole }

// Unframed reports whether only the end of the connection ends the body.
func (a *Answer) Unframed() bool { return a.Length < 0 && !a.chunked }
