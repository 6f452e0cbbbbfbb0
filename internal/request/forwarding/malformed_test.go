package forwarding

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

const (
	// malformedBody is the body of answers that must not reach a caller.
	malformedBody = "malformed"
	// identity are the fields that mark an answer as the upstream's own. ID stands for
	// the identifier of the request.
	identity = "Seal: s\r\nRequest-Id: ID\r\n"
)

// malformedAnswers are answers whose head is malformed, by their form. ID stands for the
// identifier of the request.
func malformedAnswers() map[string]string {
	sound := "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 9\r\n\r\n" + malformedBody
	answers := map[string]string{
		"answer in the body of status 000": "HTTP/1.1 000 Error\r\nContent-Length: 99\r\n\r\n" + sound,
		"answer behind status 101":         "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + sound,
	}
	for _, status := range []string{"000", "-00", "+20", "099", "101", "600", "999"} {
		answers["status "+status] = "HTTP/1.1 " + status + " Error\r\n" + identity + "Content-Length: 9\r\n\r\n" + malformedBody
	}
	for name, field := range malformedFields() {
		for where, lines := range map[string]string{"first ": field + identity, "last ": identity + field} {
			answers[where+name] = "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 9\r\n\r\n" + malformedBody
			answers[where+name+", no length"] = "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + malformedBody
			answers[where+name+", interim"] = "HTTP/1.1 103 Early Hints\r\n" + lines + "\r\n" + sound
		}
	}
	return answers
}

// malformedFields are field lines whose names are malformed, by their form.
func malformedFields() map[string]string {
	fields := map[string]string{
		"no name": ": 9\r\n", "no colon": "Content-Length\r\n", "separator in a name": "Content(Length): 9\r\n",
		"byte above ASCII in a name": "Content-L\xe9ngth: 9\r\n",
	}
	for name, b := range map[string]string{
		"blank": " ", "tab": "\t", "null": "\x00", "carriage return": "\r", "bell": "\a", "delete": "\x7f",
	} {
		fields[name+" before a name"] = b + "Content-Length: 9\r\n"
		fields[name+" in a name"] = "Content" + b + "Length: 9\r\n"
		fields[name+" behind a name"] = "Content-Length" + b + ": 9\r\n"
	}
	return fields
}

// writeUnchanged returns an upstream that writes the answer as it is.
func writeUnchanged(answer string) http.HandlerFunc {
	return rawanswer.Handler(func(r *http.Request) string {
		return strings.ReplaceAll(answer, "ID", r.Header.Get(testNames.RequestID))
	})
}

// Guards against answers with a malformed head that reach callers: a worker in trouble sent
// them, and they were passed on, or bytes behind them were taken for the answer. What may be
// repeated is answered by another upstream; what may not is sent once.
func TestAnswerWithAMalformedHeadIsNotPassedOn(t *testing.T) {
	routes := map[string]struct {
		repeatable bool
		sound      http.HandlerFunc
	}{
		"look": {true, answerWith(http.StatusOK, "sound")}, "order": {false, answerWith(http.StatusOK, "sound")},
		"match": {true, streamEvents(1, 3, false)}, "draft": {false, streamEvents(1, 3, false)},
	}
	for name, answer := range malformedAnswers() {
		for route, expected := range routes {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				var sound atomic.Int32
				closed := make(chan struct{})
				h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
					defer close(closed)
					writeUnchanged(answer)(w, r)
				}, func(w http.ResponseWriter, r *http.Request) {
					sound.Add(1)
					expected.sound(w, r)
				})
				scope := tally.NewTestScope("", nil)
				h.forwarder.Metrics = NewMetrics(scope)
				response := h.do(h.request(http.MethodPost, "/"+route+"/x", ""))
				body := bodyOf(t, response)
				require.NotContains(t, body, malformedBody)
				counters := scope.Snapshot().Counters()
				require.Contains(t, counters, "forward.malformed_answers+")
				require.EqualValues(t, 1, counters["forward.malformed_answers+"].Value())
				<-closed
				if expected.repeatable {
					require.Equal(t, http.StatusOK, response.StatusCode, body)
					require.Equal(t, "seal-of-u-2", response.Header.Get(testNames.Seal))
					return
				}
				require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
				require.Empty(t, response.Header.Get(testNames.Seal))
				require.Zero(t, sound.Load(), "the request may have run")
			})
		}
	}
}

// Guards against an interim answer that is refused or passed on: upstreams may send them
// before the answer.
func TestInterimAnswersAreSkipped(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	h := newHarness(t, writeUnchanged(interim+"HTTP/1.1 200 OK\r\n"+identity+"Content-Length: 5\r\n\r\nsound"))
	response := h.do(h.request(http.MethodPost, "/order/x", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "sound", bodyOf(t, response))
	require.Empty(t, response.Header.Get("Link"))
}
