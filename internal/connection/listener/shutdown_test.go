package listener_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/listener"
)

// Guards against connections that a shutdown closes before the handlers that it
// cancels have responded: callers of a stopped router got no answer. A handler that
// gives up without a response must not look successful.
func TestShutdownDeliversResponsesOfCancelledRequests(t *testing.T) {
	const callers = 64
	running := make(chan struct{}, callers+1)
	l := startListener(t, listener.Options{}, func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
		if r.URL.Path == "/silent" {
			return
		}
		w.WriteHeader(http.StatusBadGateway)
		_, _ = w.Write([]byte("cancelled"))
	})
	_, silent := dial(t, l, "GET /silent HTTP/1.1\r\nHost: a\r\n\r\n")
	results := make(chan error, callers)
	for range callers {
		_, reader := dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		go func() {
			response, err := http.ReadResponse(reader, nil)
			if err == nil && response.StatusCode != http.StatusBadGateway {
				err = errors.New(response.Status)
			}
			results <- err
		}()
	}
	for range callers + 1 {
		<-running
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, l.Shutdown(ctx), context.DeadlineExceeded)
	for range callers {
		require.NoError(t, <-results)
	}
	_, err := http.ReadResponse(silent, nil)
	require.Error(t, err)
}
