package forwarding

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/request/eventstream"
)

// errNotContinued is the error of an answer, or of a part of one, that does not continue
// the stream that it should.
var errNotContinued = errors.New("answer does not continue the stream")

// checkContinuation returns an error if the answer cannot continue a stream whose header
// another answer has set.
func checkContinuation(answer *upstreamclient.Answer) error {
	if answer.Status != http.StatusOK || !isEventStream(answer.Header) {
		return errors.Wrapf(errNotContinued, "status %d, content type %q", answer.Status, answer.Header.Get("Content-Type"))
	}
	return nil
}

// mustContinue reports whether each event of the answer must show that it continues the
// stream: after another answer, and where an answer without a length may be followed by
// bytes that do not belong to it.
func (s *stream) mustContinue(answer *upstreamclient.Answer) bool {
	return answer != s.head || answer.CloseDelimited() && s.lastID != ""
}

// checkEvent returns an error if the event is not one of the run: it has no number, or is
// an error. A comment has none, but may stand between events.
func checkEvent(e eventstream.Event) error {
	switch {
	case e.IsComment():
		return nil
	case e.ID == "":
		return errors.Wrap(errNotContinued, "event without a number")
	case e.Type() == "error":
		return errors.Wrap(errNotContinued, "event of type error")
	default:
		return nil
	}
}
