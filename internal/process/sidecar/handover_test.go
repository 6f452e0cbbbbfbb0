package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

// Guards against a ledger that is never handed over because a small link takes longer than a fixed limit.
func TestHandOverLastsAsLongAsBytesMove(t *testing.T) {
	const size, rate = 3 << 20, 1 << 20
	received := make(chan int64, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		total := int64(0)
		for {
			n, err := io.CopyN(io.Discard, r.Body, rate/20)
			total += n
			if err != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		received <- total
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(server.Close)
	_, h := newPlainHarness(t, 1, false)
	status, _, err := h.sidecar.callPeer(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/x", make([]byte, size))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, size, <-received)
}

// Guards against a hand-over that counts as received because of an answer with a malformed
// head.
func TestHandOverAnsweredWithAMalformedHeadFails(t *testing.T) {
	address := rawanswer.Serve(t, "HTTP/1.1 000 Error\r\nContent-Length: 0\r\n\r\n")
	_, h := newPlainHarness(t, 1, false)
	_, _, err := h.sidecar.callPeer(t.Context(), address, "/x", nil)
	require.ErrorIs(t, err, answerhead.ErrMalformed)
}

// Guards against a hand-over that counts as received because of a part of an early answer: the
// peer reset the connection while the ledger was being written.
func TestHandOverWithAnEarlyAnswerThatAResetCutsFails(t *testing.T) {
	address := rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", rawanswer.Reset)
	_, h := newPlainHarness(t, 1, false)
	received := 0
	for range 200 {
		if _, _, err := h.sidecar.callPeer(t.Context(), address, "/x", make([]byte, 1<<20)); err == nil {
			received++
		}
	}
	require.Zero(t, received, "hand-overs that count as received")
}
