package gateway

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

// Guards against an answer of another gateway that is used although its head is malformed.
func TestPeerAnswerWithAMalformedHeadIsAnError(t *testing.T) {
	address := rawanswer.Serve(t, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}")
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, http.NoBody)
	require.NoError(t, err)
	response, err := peerClient().Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	require.ErrorIs(t, err, answerhead.ErrMalformed)
}

// Guards against a part of an early answer of another gateway that is used: it reset the
// connection while the request was being written.
func TestEarlyPeerAnswerThatAResetCutsIsAnError(t *testing.T) {
	address := rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", rawanswer.Reset)
	answered := 0
	for range 200 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, 1<<20)))
		require.NoError(t, err)
		response, err := peerClient().Do(request)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			answered++
		}
	}
	require.Zero(t, answered, "parts returned as answers")
}
