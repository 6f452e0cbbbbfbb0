package listener_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
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

// Guards against requests that are served on connections which the listener has
// decided to close: they ran, and their callers got no answer. A request whose
// connection is closed without an answer must not have been served.
func TestShutdownServesNoRequestThatItCannotAnswer(t *testing.T) {
	const rounds, callers = 10, 400
	for range rounds {
		var served sync.Map
		l := startListener(t, listener.Options{}, func(w http.ResponseWriter, r *http.Request) {
			served.Store(r.URL.Path, true)
			_, _ = w.Write([]byte("done"))
		})
		var running sync.WaitGroup
		for i := range callers {
			c, reader := dial(t, l, "")
			running.Go(func() {
				for n := 0; ; n++ {
					time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
					path := fmt.Sprintf("/%d/%d", i, n)
					_, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
					if err == nil {
						var response *http.Response
						if response, err = http.ReadResponse(reader, nil); err == nil {
							_, err = io.Copy(io.Discard, response.Body)
						}
						if err == nil && response.Close {
							return
						}
					}
					if err == nil {
						continue
					}
					if _, ok := served.Load(path); ok {
						t.Errorf("request %s was served, and its connection closed: %v", path, err)
					}
					return
				}
			})
		}
		time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
		require.NoError(t, l.Shutdown(t.Context()))
		running.Wait()
	}
}
