package gateway

import (
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
