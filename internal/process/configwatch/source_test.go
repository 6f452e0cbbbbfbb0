package configwatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

// Guards against a configuration that is taken from an answer with a malformed head, or
// that is read until the peer closes the connection because its length is in a malformed
// line.
func TestAnswerWithAMalformedHeadIsAnError(t *testing.T) {
	for _, head := range []string{"000 Error\r\n", "200 OK\r\nContent-Length : 2\r\n"} {
		address := rawanswer.Serve(t, "HTTP/1.1 "+head+"\r\n{}")
		w := New(Options{}, nil)
		peer := &peerSource{client: w.client, address: address, timeout: time.Minute}
		_, err := peer.chunk(t.Context(), "hash")
		require.ErrorIs(t, err, answerhead.ErrMalformed, head)
	}
}

// Guards against a part of a configuration, without a length, that is used after its source
// reset the connection.
func TestAnswerThatAResetCutsIsAnError(t *testing.T) {
	address := rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n{}", rawanswer.Reset)
	w := New(Options{}, nil)
	peer := &peerSource{client: w.client, address: address, timeout: time.Minute}
	for range 200 {
		_, err := peer.chunk(t.Context(), "hash")
		require.Error(t, err)
	}
}
