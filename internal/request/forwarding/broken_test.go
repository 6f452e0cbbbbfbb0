package forwarding

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
)

// raw returns an upstream that writes the content type and the body, in chunks or not.
func raw(contentType, body string, chunked bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		// An empty value prevents the server from guessing one.
		w.Header()["Content-Type"] = []string{contentType}
		if !chunked {
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		_, _ = io.WriteString(w, body)
		if chunked {
			w.(http.Flusher).Flush()
		}
	}
}

// closeDelimitedStream returns an upstream whose stream only the end of its connection
// delimits.
func closeDelimitedStream(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\n\r\n%s",
			r.Header.Get(testNames.RequestID), body)
		_ = connection.Close()
	}
}

const (
	errorText  = `{"error":"overloaded"}`
	eventsType = "text/event-stream"
	errorHead  = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 22\r\n\r\n" + errorText
)

// errorAnswers are answers of an upstream that does not continue a stream, by their form.
func errorAnswers() map[string]http.HandlerFunc {
	answers := map[string]http.HandlerFunc{
		"status 500":               answerWith(http.StatusInternalServerError, errorText),
		"status 404":               answerWith(http.StatusNotFound, errorText),
		"refusal":                  decline,
		"no content":               answerWith(http.StatusNoContent, ""),
		"head in the middle":       closeDelimitedStream(errorHead),
		"head behind an event":     closeDelimitedStream(event(4) + errorHead),
		"head and end of an event": closeDelimitedStream(event(4) + errorHead + "\n\n"),
	}
	for form, chunked := range map[string]bool{" chunked": true, "": false} {
		answers["JSON"+form] = raw("application/json", errorText, chunked)
		answers["JSON with empty lines"+form] = raw("application/json", errorText+"\n\n"+errorText+"\n\n", chunked)
		answers["text without a type"+form] = raw("", errorText+"\n\n", chunked)
		answers["web page"+form] = raw("text/html", "<html>\n\nbusy</html>", chunked)
		answers["unnumbered error event"+form] = raw(eventsType, "event: error\ndata: "+errorText+"\n\n", chunked)
		answers["unnumbered data"+form] = raw(eventsType, "data: "+errorText+"\n\n", chunked)
		answers["numbered error event"+form] = raw(eventsType, "id: 4\nevent: error\ndata: "+errorText+"\n\n", chunked)
		answers["error behind an event"+form] = raw(eventsType, event(4)+"data: "+errorText+"\n\n", chunked)
		answers["head as event"+form] = raw(eventsType, errorHead+"\n\n", chunked)
		answers["unfinished event"+form] = raw(eventsType, "id: 4\ndata: "+errorText, chunked)
	}
	return answers
}

// requireBrokenOff requires that the caller got the first events, at least as many as
// stated, and a broken connection.
func requireBrokenOff(t *testing.T, response *http.Response, atLeast int) {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	require.Error(t, err, string(body))
	require.True(t, strings.HasPrefix(events(1, 9), string(body)), string(body))
	require.GreaterOrEqual(t, len(body), len(events(1, atLeast)))
}

// Guards against the text of an error in the middle of a stream, and against a stream that
// ends as if it were complete, after it broke off and the next upstream did not continue
// it.
func TestErrorAfterABrokenStreamIsNotPassedOn(t *testing.T) {
	for name, answer := range errorAnswers() {
		t.Run("resumed/"+name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, streamEvents(1, 3, true), answer)
			requireBrokenOff(t, h.do(h.request(http.MethodPost, "/match/x", "")), 3)
		})
		t.Run("moved/"+name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, streamEvents(1, 3, true), answer)
			h.moveTo("u-2", "")
			requireBrokenOff(t, h.do(h.request(http.MethodPost, "/draft/x", "")), 3)
		})
		t.Run("back at the source/"+name, func(t *testing.T) {
			t.Parallel()
			first := true
			h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				if first {
					first = false
					streamEvents(1, 3, true)(w, r)
					return
				}
				answer(w, r)
			}, answerWith(http.StatusInternalServerError, errorText))
			h.moveTo("u-2", "u-1")
			requireBrokenOff(t, h.do(h.request(http.MethodPost, "/draft/x", "")), 3)
		})
		t.Run("before the first event/"+name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, streamEvents(1, 0, true), answer)
			response := h.do(h.request(http.MethodPost, "/match/x", ""))
			body, err := io.ReadAll(response.Body)
			if response.StatusCode == http.StatusOK {
				require.Error(t, err, string(body))
				require.True(t, strings.HasPrefix(events(4, 9), string(body)), string(body))
			}
		})
	}
}

// Guards against giving up a run because its target answers with an error, although the
// source still holds it.
func TestRunGoesOnAtItsSourceIfTheTargetAnswersWithAnError(t *testing.T) {
	for _, name := range []string{"status 500", "refusal", "JSON", "text without a type chunked"} {
		t.Run(name, func(t *testing.T) {
			first := true
			h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				if first {
					first = false
					streamEvents(1, 3, true)(w, r)
					return
				}
				streamEvents(4, 6, false)(w, r)
			}, errorAnswers()[name])
			h.moveTo("u-2", "u-1")
			body, err := io.ReadAll(h.do(h.request(http.MethodPost, "/draft/x", "")).Body)
			require.NoError(t, err)
			require.Equal(t, events(1, 6), string(body))
		})
	}
}

// Guards against breaking off a resumed stream at a comment, which has no number.
func TestCommentsOfAResumedStreamArePassedOn(t *testing.T) {
	h := newHarness(t, streamEvents(1, 3, true), raw(eventsType, ": busy\n\n"+event(4)+": busy\n\n"+event(5), true))
	body, err := io.ReadAll(h.do(h.request(http.MethodPost, "/match/x", "")).Body)
	require.NoError(t, err)
	require.Equal(t, events(1, 3)+": busy\n\n"+event(4)+": busy\n\n"+event(5), string(body))
}

// moveTo lets each run continue at the target after its stream broke off, and then at the
// source unless that is empty.
func (h *harness) moveTo(target, source string) {
	to, _ := h.directory.Upstream(target, time.Now())
	from, _ := h.directory.Upstream(source, time.Now())
	h.relocator.onBegin = func(r *relocation.Run) {
		r.SetHandoff(relocation.Handoff{Target: to, CopySource: "10.0.0.1:1/handle", Source: from})
	}
}

// Guards against the head of an answer that follows the events of a stream without a
// length: only the end of the connection delimits that.
func TestHeadBehindAStreamWithoutALengthIsNotPassedOn(t *testing.T) {
	h := newHarness(t, closeDelimitedStream(events(1, 3)+errorHead))
	requireBrokenOff(t, h.do(h.request(http.MethodPost, "/draft/x", "")), 3)
}
