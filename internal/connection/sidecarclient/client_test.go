package sidecarclient_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/sidecarclient"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

func newClient() *sidecarclient.Client {
	return sidecarclient.New("secret", "10.0.0.1:1", func(context.Context, http.Header) {}).WithIdleTimeout(time.Second)
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func offer(address string) (*sidecarclient.Stream, error) {
	return newClient().Offer(context.Background(), address, &attempt.Attempt{ID: "a-1", Account: "bakery"})
}

// Guards against frames, large ones included, that are lost or corrupted.
func TestFramesAreReceivedUnchanged(t *testing.T) {
	large := strings.Repeat("x", 300_000)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" || r.Header.Get(attempt.AccountHeader) != "bakery" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		w.Header().Set("Content-Type", frame.MediaType)
		w.Header().Set(attempt.StreamIDHeader, "a-1")
		_, _ = fmt.Fprintf(w, "%s\n%s\n%s\n", `{"kind":"accepted","generation_id":"i.1.1"}`, `{"kind":"token","seq":1,"data":{"t":"`+large+`"}}`, `{"kind":"end","seq":1}`)
	})
	s, err := offer(address)
	require.NoError(t, err)
	defer s.Close()
	var f frame.Frame
	require.NoError(t, s.Next(&f))
	require.Equal(t, "i.1.1", f.GenerationID)
	require.NoError(t, s.Next(&f))
	require.Equal(t, `{"t":"`+large+`"}`, string(f.Data))
	require.NoError(t, s.Next(&f))
	require.Equal(t, frame.KindEnd, f.Kind)
	require.ErrorIs(t, s.Next(&f), sidecarclient.ErrLost)
}

// Guards against ErrNotSent for a request that may have arrived, and against
// the wrong error for any other failure of a link.
func TestFailuresAreClassified(t *testing.T) {
	hang := func(r *http.Request) {
		// The server notices a disconnect only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"closed before the answer": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, sidecarclient.ErrLost},
		"idle before the answer":   {func(_ http.ResponseWriter, r *http.Request) { hang(r) }, sidecarclient.ErrIdleTimeout},
		"idle after the header": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", frame.MediaType)
			w.(http.Flusher).Flush()
			hang(r)
		}, sidecarclient.ErrIdleTimeout},
		"truncated frame": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", frame.MediaType)
			_, _ = fmt.Fprint(w, `{"kind":"acc`)
		}, sidecarclient.ErrLost},
		"error without a problem": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, sidecarclient.ErrLost},
		"stream of another attempt": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", frame.MediaType)
			w.Header().Set(attempt.StreamIDHeader, "a-2")
			_, _ = fmt.Fprintln(w, `{"kind":"heartbeat"}`)
		}, sidecarclient.ErrWrongStream},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := offer(serve(t, test.handler))
			if err == nil {
				defer s.Close()
				err = s.Next(new(frame.Frame))
			}
			require.ErrorIs(t, err, test.want)
			require.NotErrorIs(t, err, sidecarclient.ErrNotSent)
		})
	}
	_, err := offer("127.0.0.1:1")
	require.ErrorIs(t, err, sidecarclient.ErrNotSent)
}

// Guards against a refusal that is returned without its outcome.
func TestRefusalIsReturnedAsAProblem(t *testing.T) {
	_, err := offer(serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = problem.NotRun("queue_full", "full", 2*time.Second).Write(w)
	}))
	var p problem.Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, problem.OutcomeNotRun, p.Outcome)
	require.Equal(t, 2, p.RetryAfterSeconds)
}

// Guards against closing a link as idle because its caller reads slowly.
func TestTimeBetweenReadsIsNotIdleTime(t *testing.T) {
	s, err := offer(serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", frame.MediaType)
		for r.Context().Err() == nil {
			_, _ = fmt.Fprintln(w, `{"kind":"heartbeat"}`)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
	require.NoError(t, err)
	defer s.Close()
	for range 3 {
		require.NoError(t, s.Next(new(frame.Frame)))
		time.Sleep(1500 * time.Millisecond)
	}
}

// Guards against an answer with a malformed head that counts as the sidecar's consent.
func TestAnswerWithAMalformedHeadIsALostCall(t *testing.T) {
	address := rawanswer.Serve(t, "HTTP/1.1 000 Error\r\nContent-Length: 2\r\n\r\n{}")
	require.ErrorIs(t, newClient().Cancel(t.Context(), address, "g"), sidecarclient.ErrLost)
	_, err := newClient().Query(t.Context(), address, "a-1")
	require.ErrorIs(t, err, sidecarclient.ErrLost)
}

// Guards against a part of an early answer that is used: the sidecar reset the connection while
// a large attempt was being written. A part of a refusal does not show that nothing ran, and a
// link without a terminal frame has not ended.
func TestEarlyAnswerThatAResetCutsIsALostCall(t *testing.T) {
	a := &attempt.Attempt{ID: "a-1", Request: attempt.Request{Body: make([]byte, 1<<20)}}
	for _, answer := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Type: " + problem.MediaType + "\r\n\r\n{\"outcome\":\"not_run\"",
		"HTTP/1.1 200 OK\r\nContent-Type: " + frame.MediaType + "\r\n\r\n{\"kind\":\"heartbeat\"}\n",
	} {
		address := rawanswer.ServeEarly(t, answer, rawanswer.Reset)
		for range 100 {
			s, err := newClient().Offer(t.Context(), address, a)
			for err == nil {
				err = s.Next(new(frame.Frame))
			}
			require.ErrorIs(t, err, sidecarclient.ErrLost)
		}
	}
}
